"""The fleet: targets that announce themselves, their lives and when they were heard."""

from cranberrylever.fleet._contacts import TargetLiveness
from cranberrylever.fleet._directory import (
    RegisteredTarget,
    TargetAnnouncement,
    TargetRegistry,
    TargetRegistryRecord,
)

__all__ = [
    "RegisteredTarget",
    "TargetAnnouncement",
    "TargetLiveness",
    "TargetRegistry",
    "TargetRegistryRecord",
]
