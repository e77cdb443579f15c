"""Metrics of a control member, sent at a fixed interval."""

from collections import Counter

from cranberrylever.consensus import RaftDriver
from cranberrylever.control._leader import LeaderLoop
from cranberrylever.control_member import set_consensus_gauges
from cranberrylever.membership import PHASES
from cranberrylever.metrics import Metrics
from cranberrylever.ownership import Coordinator

METRICS_INTERVAL_S = 1.0


class ControlMetrics:
    """Sends consensus gauges from each member, and cluster gauges from the leader only."""

    def __init__(
        self, metrics: Metrics, driver: RaftDriver, leader: LeaderLoop, coordinator: Coordinator
    ) -> None:
        self.metrics = metrics
        self.driver = driver
        self.leader = leader
        self.coordinator = coordinator
        self.next_at = 0.0

    def send_due(self, now: float) -> None:
        """Send the gauges if the interval since the last time has passed."""
        if now < self.next_at:
            return
        self.next_at = now + METRICS_INTERVAL_S
        is_leader = self.leader.is_serving()
        set_consensus_gauges(self.metrics, self.driver, is_leader)
        if is_leader:
            self._send_cluster_gauges(now)

    def _send_cluster_gauges(self, now: float) -> None:
        state = self.coordinator.state
        phases = Counter(record.phase for record in state.targets.records.values())
        for phase in PHASES:
            self.metrics.gauge(f"targets.{phase}", phases[phase])
        self.metrics.gauge("claims", len(state.claims))
        self.metrics.gauge("ticket", state.tickets.last_number)
        status = self.coordinator.status(now)
        self.metrics.gauge("entries", len(status.entries))
        for service in status.services:
            self.metrics.gauge(f"shards.{service.name}.releasing", service.releasing)
            self.metrics.gauge(f"shards.{service.name}.free", service.free)
            self.metrics.gauge(f"imbalance.{service.name}", service.imbalance)
