"""Entry program: accepts HTTP requests from callers and forwards them to targets."""

from cranberrylever.entry._program import EntryProgram, create_entry
from cranberrylever.entry._tuning import EntryTuning

__all__ = ["EntryProgram", "EntryTuning", "create_entry"]
