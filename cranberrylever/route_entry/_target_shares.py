"""Gauge of how evenly an entry divides requests among the targets of pooled services."""

import collections

from cranberrylever.metrics import Metrics
from cranberrylever.route_entry._request import RoutedRequest
from cranberrylever.route_entry._view import EntryView, TargetState

WINDOW_S = 30.0
"""Time over which requests are counted."""

MIN_MEAN_REQUESTS = 10.0
"""Mean number of requests per target below which chance decides which target is the busiest."""


class TargetShareGauge:
    """Sets the gauge ``busiest_over_mean`` at the end of each window.

    It is the number of requests that this entry has sent to the busiest target of a pooled service, relative
    to the mean of the usable targets; of several services the largest, 0 if all had too few requests.

    Args:
        metrics: Metrics of the process.
        view: The view in force.
    """

    def __init__(self, metrics: Metrics, view: EntryView) -> None:
        self.metrics = metrics
        self.view = view
        self.window_end: float | None = None
        self.counts: dict[str, collections.Counter[str]] = {}

    def record(self, request: RoutedRequest, target: TargetState, now: float) -> None:
        """Count a request that is being sent; only pooled ones, since a key decides on its target."""
        if request.key is not None:
            return
        if self.window_end is None:
            self.window_end = now + WINDOW_S
        elif now >= self.window_end:
            self._end_window(now)
        service_counts = self.counts.setdefault(request.service.name, collections.Counter())
        service_counts[target.info.target_id] += 1

    def _end_window(self, now: float) -> None:
        ratios = [self._busiest_over_mean(service, counts) for service, counts in self.counts.items()]
        self.metrics.gauge("busiest_over_mean", round(max(ratios, default=0.0), 2))
        self.counts = {}
        self.window_end = now + WINDOW_S

    def _busiest_over_mean(self, service: str, counts: collections.Counter[str]) -> float:
        targets = len(self.view.usable_targets(service))
        mean = counts.total() / max(1, targets)
        return max(counts.values()) / mean if mean >= MIN_MEAN_REQUESTS else 0.0
