"""Outcomes and latencies of responses, sent as metrics with each report."""

import math

from cranberrylever.metrics import Metrics

ABANDONED = "abandoned"
"""Outcome of a request whose caller disconnected before the response started."""

MAX_LATENCY_SAMPLES = 4096
"""Maximum number of latencies kept between two reports; outcomes of further responses are still counted."""

_QUANTILES = (("latency_p50_ms", 0.5), ("latency_p99_ms", 0.99))


class ResponseStats:
    """Response counts by outcome, and latencies, since the last report."""

    def __init__(self) -> None:
        self.outcomes: dict[str, int] = {}
        self.latencies: list[float] = []

    def record(self, outcome: str, seconds: float) -> None:
        """Record a response that took ``seconds``; an empty outcome counts as abandoned."""
        name = outcome or ABANDONED
        self.outcomes[name] = self.outcomes.get(name, 0) + 1
        if len(self.latencies) < MAX_LATENCY_SAMPLES:
            self.latencies.append(seconds)

    def send(self, metrics: Metrics) -> None:
        """Send the counts by outcome and the latency quantiles, then reset them."""
        for outcome, count in self.outcomes.items():
            metrics.count(f"outcome.{outcome}", count)
        ordered = sorted(self.latencies)
        for name, quantile in _QUANTILES:
            if ordered:
                metrics.gauge(name, ordered[math.ceil(quantile * len(ordered)) - 1] * 1000)
        self.outcomes = {}
        self.latencies = []
