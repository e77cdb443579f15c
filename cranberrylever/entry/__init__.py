"""The entry program: serves callers over HTTP and routes their requests to targets."""

from cranberrylever.entry._program import EntryProgram, create_entry
from cranberrylever.entry._tuning import EntryTuning

__all__ = ["EntryProgram", "EntryTuning", "create_entry"]
