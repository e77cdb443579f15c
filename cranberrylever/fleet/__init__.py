"""The fleet: targets that announce themselves, their lives and when they were heard."""

from cranberrylever.fleet._liveness import TargetLiveness
from cranberrylever.fleet._registry import (
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
