"""Stand-in target: a server that obeys the target contract and misbehaves on demand."""

from cranberrylever.target._program import TargetProgram, create_target

__all__ = ["TargetProgram", "create_target"]
