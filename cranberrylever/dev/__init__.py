"""Demonstration cluster: control, entries and stand-in targets in one process."""

from cranberrylever.dev._cluster import DevCluster
from cranberrylever.dev._program import run_dev

__all__ = ["DevCluster", "run_dev"]
