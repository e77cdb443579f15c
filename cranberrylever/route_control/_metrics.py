"""Metrics of a route control member."""

import math
from collections import Counter

from cranberrylever.consensus import RaftDriver
from cranberrylever.control_member import set_consensus_gauges
from cranberrylever.keyspace import FREE, HELD, RELEASING
from cranberrylever.metrics import Metrics
from cranberrylever.route_control._feed import FeedService
from cranberrylever.route_control._leader import RouteControlLeader
from cranberrylever.route_control._state import RouteControlState

METRICS_INTERVAL_S = 1.0


class RouteControlMetrics:
    """Sets gauges of the consensus state at each member, and of targets and key ranges at the leader.

    Args:
        metrics: Metrics of the process.
        driver: Consensus driver.
        leader: Leader loop.
        state: The replicated state.
        feed: Streams to entries.
    """

    def __init__(
        self,
        metrics: Metrics,
        driver: RaftDriver,
        leader: RouteControlLeader,
        state: RouteControlState,
        feed: FeedService,
    ) -> None:
        self.metrics = metrics
        self.driver = driver
        self.leader = leader
        self.state = state
        self.feed = feed
        self.next_update_at = 0.0

    def update_due(self, now: float) -> None:
        """Set all gauges if the interval has passed."""
        if now < self.next_update_at:
            return
        self.next_update_at = now + METRICS_INTERVAL_S
        is_leader = self.leader.is_serving()
        self.metrics.gauge("entries_attached", len(self.feed.attached_entries))
        self.metrics.gauge("view_bytes_waiting", self.feed.waiting_bytes())
        self.metrics.gauge("log_bytes", self.driver.log_bytes())
        set_consensus_gauges(self.metrics, self.driver, is_leader)
        self.metrics.gauge("plan", self.state.plans.number)
        self.metrics.gauge("entries", len(self.state.entries))
        self.metrics.gauge("domains_withdrawn", len(self.state.withdrawn))
        if is_leader:
            self._update_leader_gauges(now)

    def _update_leader_gauges(self, now: float) -> None:
        voters = [member for member in self.driver.members() if member.role != "learner"]
        self.metrics.gauge("voters", len(voters))
        self.metrics.gauge("voters_wanted", self.driver.config.voters)
        targets = self.state.fleet.targets.values()
        self.metrics.gauge("targets", len(targets))
        self.metrics.gauge("targets_leaving", sum(target.leaving for target in targets))
        self.metrics.gauge(
            "targets_silent", sum(self.leader.measurements.is_overdue(target, now) for target in targets)
        )
        self.metrics.gauge(
            "targets_cold",
            sum(self.leader.measurements.liveness.cold_for(target, now) > 0 for target in targets),
        )
        self.metrics.gauge(
            "targets_rate_limited",
            sum(
                math.isfinite(self.leader.measurements.rate_limits.rate(target.incarnation))
                for target in targets
            ),
        )
        self.metrics.gauge("quota_tokens_outstanding", self.leader.quotas.outstanding())
        self.metrics.gauge("quota_tokens_granted", self.leader.quotas.granted)
        self.metrics.gauge("quota_tokens_delayed", self.leader.quotas.unmet)
        phases = Counter(item.phase for table in self.state.tables.values() for item in table.ranges)
        for phase in (HELD, RELEASING, FREE):
            self.metrics.gauge(f"ranges_{phase}", phases[phase])
