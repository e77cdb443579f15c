"""Stand-in target: a server that obeys the target contract and misbehaves on demand."""

from cranberrylever.target._program import TargetProgram, create_target
from cranberrylever.target._record import Run

__all__ = ["Run", "TargetProgram", "create_target"]
