"""The fleet: targets that announce themselves, their lives and when they were heard."""

from cranberrylever.fleet._contacts import FleetContacts
from cranberrylever.fleet._directory import FleetDirectory, FleetRecord, FleetTarget, TargetNotice

__all__ = ["FleetContacts", "FleetDirectory", "FleetRecord", "FleetTarget", "TargetNotice"]
