"""Counts of the connections that listeners give up, by reason, with a bounded number of log lines.

Load: callers that connect again after each refusal.
"""

import collections
import math

from cranberrylever.logs import Log
from cranberrylever.metrics import Metrics

LOG_INTERVAL_S = 5.0
"""Time between two lines of the log; the next one has what came meanwhile."""


class GivenUpConnections:
    """Counts given-up connections.

    Args:
        log: Program log.
        metrics: Metrics of the process.
    """

    def __init__(self, log: Log, metrics: Metrics) -> None:
        self.log = log
        self.metrics = metrics
        self.counts: collections.Counter[str] = collections.Counter()
        self.logged_at = -math.inf

    def record(self, reason: str, now: float) -> None:
        """Count a connection; ``now`` is a loop time in seconds."""
        self.metrics.count(f"connections_given_up_{reason}")
        self.counts[reason] += 1
        if now - self.logged_at >= LOG_INTERVAL_S:
            self.logged_at = now
            self.log.warning("connections_given_up", reasons=dict(self.counts))
            self.counts.clear()
