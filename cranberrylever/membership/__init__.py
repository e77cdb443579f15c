"""Targets that announced themselves, and entries with a live view lease."""

from cranberrylever.membership._announcement import Announcement

__all__ = ["Announcement"]
