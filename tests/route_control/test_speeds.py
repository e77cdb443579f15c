"""Tests of the speed tracker with simulated service times."""

import random

import testtools

from cranberrylever.route_control._speeds import DECAY_TIME_S, SpeedTracker
from cranberrylever.wire import TargetServiceTime, TargetSpeed

INCARNATIONS = [(f"t{number}", 1) for number in range(20)]
SPEEDS = [0.5, 1.0, 1.0, 1.5] * 5
SERVICE_TIME_S = 0.1


class UnweightedTracker:
    """Moving average of the ratios of all reports that does not weight the reports by their work."""

    WEIGHT = 0.15

    def __init__(self):
        self.relative_service_times = {}

    def record(self, service_time, now):
        incarnation = (service_time.target_id, service_time.started_ms)
        before = self.relative_service_times.get(incarnation, 1.0)
        self.relative_service_times[incarnation] = before + self.WEIGHT * (
            service_time.elapsed / service_time.usual - before
        )

    def speeds(self, incarnations):
        mean = sum(self.relative_service_times.get(incarnation, 1.0) for incarnation in incarnations) / len(
            incarnations
        )
        return {
            incarnation: mean / self.relative_service_times.get(incarnation, 1.0)
            for incarnation in incarnations
        }


def replay(tracker, seed, seconds=8.0):
    """Report a few requests of each target four times a second from eight entries; return the largest error.

    Service times vary widely, and in each report one target in five is three times slower.
    """
    rng = random.Random(seed)
    now = 0.0
    while now < seconds:
        now += 0.25
        for incarnation, speed in zip(INCARNATIONS, SPEEDS, strict=True):
            slowdown = 3.0 if rng.random() < 0.2 else 1.0
            for _ in range(8):
                if rng.random() > 0.15:
                    continue
                elapsed = SERVICE_TIME_S * rng.lognormvariate(-0.32, 0.8) * slowdown / speed
                tracker.record(TargetServiceTime(*incarnation, elapsed, SERVICE_TIME_S * 1.4), now)
    mean = sum(1 / speed for speed in SPEEDS) / len(SPEEDS)
    measured_speeds = tracker.speeds(INCARNATIONS)
    ratios = [
        measured_speeds[incarnation] / (speed * mean)
        for incarnation, speed in zip(INCARNATIONS, SPEEDS, strict=True)
    ]
    return max(max(ratio, 1 / ratio) for ratio in ratios)


def speed_of(tracker, target_id):
    """Return the speed of a target of a service that has two targets."""
    return tracker.speeds(INCARNATIONS[:2])[target_id, 1]


class SpeedTrackerTest(testtools.TestCase):
    def test_few_requests_with_wide_times_change_the_estimate_little(self):
        """Guards against a target that appears several times faster than it is after a few short requests.

        Such a target got a quarter of all keyed work.
        """
        seeds = range(10)
        unweighted = sum(replay(UnweightedTracker(), seed) for seed in seeds) / len(seeds)
        weighted = sum(replay(SpeedTracker(), seed) for seed in seeds) / len(seeds)
        assert weighted - 1.0 < 0.65 * (unweighted - 1.0), (weighted, unweighted)

    def test_lasting_speed_is_measured(self):
        """Guards against a slow target that is taken for an average one permanently."""
        tracker = SpeedTracker()
        for step in range(200):
            tracker.record(TargetServiceTime("t0", 1, 0.2, 0.1), step * 0.1)
            tracker.record(TargetServiceTime("t1", 1, 0.1, 0.1), step * 0.1)
        ratio = speed_of(tracker, "t1") / speed_of(tracker, "t0")
        assert 1.5 < ratio <= 2.0, ratio

    def test_old_measurements_decay(self):
        """Guards against a target that is still avoided after its instance has recovered."""
        tracker = SpeedTracker()
        for _ in range(50):
            tracker.record(TargetServiceTime("t0", 1, 0.4, 0.1), 0.0)
        slow_speed = speed_of(tracker, "t0")
        tracker.record(TargetServiceTime("t0", 1, 0.1, 0.1), 4 * DECAY_TIME_S)
        assert speed_of(tracker, "t0") > 1.4 * slow_speed

    def test_next_leader_starts_with_published_speeds(self):
        """Guards against a new leader that gives slow targets as much work as fast ones."""
        tracker = SpeedTracker()
        tracker.inherit([TargetSpeed("t0", 1, 0.5), TargetSpeed("t1", 1, 2.0)], 0.0)
        assert speed_of(tracker, "t0") < 0.8 < speed_of(tracker, "t1")

    def test_own_measurements_override_inherited_speeds(self):
        """Guards against an entry that reconnects and reports an outdated speed."""
        tracker = SpeedTracker()
        tracker.record(TargetServiceTime("t0", 1, 0.1, 0.1), 0.0)
        before = speed_of(tracker, "t0")
        tracker.inherit([TargetSpeed("t0", 1, 0.4)], 0.0)
        assert speed_of(tracker, "t0") == before
