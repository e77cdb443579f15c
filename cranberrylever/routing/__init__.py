"""Routing rules of an entry."""

from cranberrylever.routing._view import (
    EntryAddress,
    KeySource,
    ServiceView,
    TargetView,
    View,
)

__all__ = ["EntryAddress", "KeySource", "ServiceView", "TargetView", "View"]
