"""Registry of targets that announce themselves, and the times of their last announcements."""

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
