"""Gauges of a member's consensus state."""

from cranberrylever.consensus import RaftDriver
from cranberrylever.metrics import Metrics


def set_consensus_gauges(metrics: Metrics, driver: RaftDriver, is_leader: bool) -> None:
    """Set the gauges of the term, the log and whether this member leads."""
    metrics.gauge("is_leader", int(is_leader))
    metrics.gauge("term", driver.term)
    metrics.gauge("commit_index", driver.commit_index)
    metrics.gauge("applied_index", driver.applied_index)
