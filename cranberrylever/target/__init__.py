"""Stand-in target: a server that implements the target contract and injects faults on request."""

from cranberrylever.target._program import TargetProgram, create_target
from cranberrylever.target._record import Run

__all__ = ["Run", "TargetProgram", "create_target"]
