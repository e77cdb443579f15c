"""The fleet: targets that announce themselves, their lives and when they were heard."""

from cranberrylever.target_registry._liveness import TargetLiveness
from cranberrylever.target_registry._registry import (
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
