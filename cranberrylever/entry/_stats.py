"""Outcomes and latencies of answers, sent as metrics with each report."""

import math

from cranberrylever.metrics import Metrics

ABANDONED = "abandoned"
"""Outcome of a request whose caller went away before an answer began."""

MAX_SAMPLES = 4096
"""Latencies kept between two reports; later ones are only counted."""

_QUANTILES = (("latency_p50_ms", 0.5), ("latency_p99_ms", 0.99))


class AnswerStats:
    """Counts answers by outcome and keeps latencies since the last report."""

    def __init__(self) -> None:
        self.outcomes: dict[str, int] = {}
        self.latencies: list[float] = []

    def record(self, outcome: str, seconds: float) -> None:
        """Count one answer that took ``seconds``."""
        name = outcome or ABANDONED
        self.outcomes[name] = self.outcomes.get(name, 0) + 1
        if len(self.latencies) < MAX_SAMPLES:
            self.latencies.append(seconds)

    def send(self, metrics: Metrics) -> None:
        """Send counters by outcome and quantiles of the latency, and start anew."""
        for outcome, count in self.outcomes.items():
            metrics.count(f"outcome.{outcome}", count)
        ordered = sorted(self.latencies)
        for name, share in _QUANTILES:
            if ordered:
                metrics.gauge(name, ordered[math.ceil(share * len(ordered)) - 1] * 1000)
        self.outcomes = {}
        self.latencies = []
