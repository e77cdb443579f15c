"""The directory of announced targets and the view leases of entries."""

from cranberrylever.membership._announcement import Announcement
from cranberrylever.membership._directory import (
    PHASE_COLD,
    PHASE_LEAVING,
    PHASE_LOST,
    PHASE_WARM,
    PHASES,
    TargetDirectory,
    TargetRecord,
)
from cranberrylever.membership._leases import EntryLease, EntryLeases

__all__ = [
    "PHASES",
    "PHASE_COLD",
    "PHASE_LEAVING",
    "PHASE_LOST",
    "PHASE_WARM",
    "Announcement",
    "EntryLease",
    "EntryLeases",
    "TargetDirectory",
    "TargetRecord",
]
