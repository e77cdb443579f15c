"""Tests of announcements that followers take, at the number of targets of a large site."""

import asyncio
import collections

import attrs
import testtools

from cranberrylever.logs import Log
from cranberrylever.route_control._announcement_relay import (
    BATCH_INTERVAL_S,
    MIN_RELAYED_TARGETS,
    AnnouncementBatch,
    AnnouncementRelay,
)
from cranberrylever.route_control._measurements import TargetMeasurements
from cranberrylever.route_control._state import RouteControlState
from cranberrylever.target_registry import TargetAnnouncement
from cranberrylever.wire import decode
from tests.support import run_in_simulated_time

TARGET_COUNT = 300
GROUP = tuple(f"10.{number}.0.1:1" for number in range(5))


@attrs.define
class FakeConfig:
    """Configuration of a member."""

    member_id: str


@attrs.define
class FakeDriver:
    """Driver of a member that knows the leader."""

    config: FakeConfig
    leader_id: str | None = GROUP[0]

    def group(self):
        return GROUP


class FakeForwarder:
    """Forwarder that keeps the batches, and fails while ``is_cut``."""

    def __init__(self):
        self.batches = []
        self.is_cut = False

    async def post(self, leader_id, path, body):
        if self.is_cut:
            return False
        self.batches.append(decode(body, AnnouncementBatch))
        return True


def announcement(number, sequence=1, **changes):
    fields = {
        "target_id": f"t{number}",
        "started_ms": 1,
        "sequence": sequence,
        "service": "ledger",
        "address": f"10.9.{number // 250}.{number % 250}:80",
        "failure_domain": "z",
        "slots": 3,
        "draining": False,
        "cold_for": 0.0,
    }
    return TargetAnnouncement(**{**fields, **changes})


class AnnouncementRelayTest(testtools.TestCase):
    def run_relay(self, scenario, member=GROUP[1]):
        async def main():
            state = RouteControlState()
            for number in range(TARGET_COUNT):
                state.fleet.record(announcement(number))
            forwarder = FakeForwarder()
            log = Log("c", "t", "error")
            relay = AnnouncementRelay(state, FakeDriver(FakeConfig(member)), forwarder, log)
            relay.start()
            await asyncio.sleep(1.5 * BATCH_INTERVAL_S)
            await scenario(relay, forwarder)
            await relay.close()

        run_in_simulated_time(main)

    def test_leader_gets_one_batch_for_many_announcements(self):
        """Guards against a leader that spends its time on the announcements of 300 targets one by one."""

        async def scenario(relay, forwarder):
            forwarder.batches.clear()
            for number in range(TARGET_COUNT):
                assert relay.accept(announcement(number, 2))
            assert relay.accept(announcement(7, 3))
            await asyncio.sleep(BATCH_INTERVAL_S)
            (batch,) = forwarder.batches
            assert len(batch.announcements) == TARGET_COUNT
            relayed = {item.announcement.target_id: item for item in batch.announcements}
            assert relayed["t7"].announcement.sequence == 3
            assert 0 < relayed["t0"].age <= BATCH_INTERVAL_S

        self.run_relay(scenario)

    def test_announcements_that_change_something_go_to_the_leader(self):
        """Guards against a departure or a new target that is acknowledged and not committed."""

        async def scenario(relay, forwarder):
            assert not relay.accept(announcement(0, 2, draining=True))
            assert not relay.accept(announcement(0, 2, slots=4))
            assert not relay.accept(announcement(0, 2, cold_for=1.0))
            assert not relay.accept(announcement(0, 2, started_ms=2))
            assert not relay.accept(announcement(TARGET_COUNT, 1))
            relay.state.fleet.deregister("t1", 1)
            assert not relay.accept(announcement(1, 2))

        self.run_relay(scenario)

    def test_follower_that_does_not_reach_the_leader_takes_nothing(self):
        """Guards against targets that count as silent because a cut-off member answers for the leader."""

        async def scenario(relay, forwarder):
            assert relay.accept(announcement(0, 2))
            forwarder.is_cut = True
            await asyncio.sleep(BATCH_INTERVAL_S)
            assert not relay.accept(announcement(0, 3))
            forwarder.is_cut = False
            await asyncio.sleep(2 * BATCH_INTERVAL_S)
            assert relay.accept(announcement(0, 4))
            relay.driver.leader_id = None
            await asyncio.sleep(BATCH_INTERVAL_S)
            assert not relay.accept(announcement(0, 5))

        self.run_relay(scenario)

    def test_targets_are_spread_over_the_followers(self):
        """Guards against a leader that names itself, or one follower, to all targets."""

        async def scenario(relay, forwarder):
            members = collections.Counter(relay.member_for(f"t{number}") for number in range(TARGET_COUNT))
            assert set(members) == set(GROUP[1:])
            assert max(members.values()) < 2 * min(members.values()), members
            for number in range(MIN_RELAYED_TARGETS, TARGET_COUNT + 1):
                relay.state.fleet.remove(f"t{number - 1}", 1)
            assert relay.member_for("t0") == GROUP[0]
            assert not relay.accept(announcement(0, 2))

        self.run_relay(scenario, GROUP[0])

    def test_relayed_announcement_counts_from_when_it_came(self):
        """Guards against a target that seems alive for longer because its announcements come in batches."""
        measurements = TargetMeasurements(0.0, 2.6)
        measurements.liveness.record(announcement(0, 2), 10.0)
        measurements.liveness.record(announcement(0, 1), 9.0)
        state = RouteControlState()
        state.fleet.record(announcement(0))
        target = state.fleet.targets["t0"]
        assert measurements.liveness.seconds_since_announcement(target, 11.0) == 1.0
