"""Replays of measured times through the book of targets' speeds."""

import random

import testtools

from cranberrylever.route_control._speeds import MEMORY_S, PaceBook
from cranberrylever.wire import TargetServiceTime, TargetSpeed

LIVES = [(f"t{number}", 1) for number in range(20)]
SPEEDS = [0.5, 1.0, 1.0, 1.5] * 5
SERVICE_S = 0.1


class NaiveBook:
    """Mean of the ratios of all reports, whatever number of requests they stand for."""

    WEIGHT = 0.15

    def __init__(self):
        self.relative_service_time = {}

    def record(self, pace, now):
        incarnation = (pace.target_id, pace.started_ms)
        before = self.relative_service_time.get(incarnation, 1.0)
        self.relative_service_time[incarnation] = before + self.WEIGHT * (pace.elapsed / pace.usual - before)

    def speeds(self, incarnations):
        mean = sum(self.relative_service_time.get(incarnation, 1.0) for incarnation in incarnations) / len(
            incarnations
        )
        return {
            incarnation: mean / self.relative_service_time.get(incarnation, 1.0)
            for incarnation in incarnations
        }


def replay(book, seed, seconds=8.0):
    """Report a few requests of each target four times a second from eight entries; return the worst error.

    Work is spread widely and one machine in five is three times slower for a moment.
    """
    rng = random.Random(seed)
    now = 0.0
    while now < seconds:
        now += 0.25
        for incarnation, speed in zip(LIVES, SPEEDS, strict=True):
            slow = 3.0 if rng.random() < 0.2 else 1.0
            for _ in range(8):
                if rng.random() > 0.15:
                    continue
                elapsed = SERVICE_S * rng.lognormvariate(-0.32, 0.8) * slow / speed
                book.record(TargetServiceTime(*incarnation, elapsed, SERVICE_S * 1.4), now)
    mean = sum(1 / speed for speed in SPEEDS) / len(SPEEDS)
    told = book.speeds(LIVES)
    ratios = [told[incarnation] / (speed * mean) for incarnation, speed in zip(LIVES, SPEEDS, strict=True)]
    return max(max(ratio, 1 / ratio) for ratio in ratios)


def speed_of(book, target_id):
    """Speed of a target of a service that has two."""
    return book.speeds(LIVES[:2])[target_id, 1]


class PaceBookTest(testtools.TestCase):
    def test_few_requests_with_wide_times_mislead_little(self):
        """Guards against a target that a few short requests make look several times faster than it is.

        Such a target was given a quarter of all keyed work.
        """
        seeds = range(10)
        naive = sum(replay(NaiveBook(), seed) for seed in seeds) / len(seeds)
        weighed = sum(replay(PaceBook(), seed) for seed in seeds) / len(seeds)
        assert weighed - 1.0 < 0.65 * (naive - 1.0), (weighed, naive)

    def test_speed_that_lasts_is_found(self):
        """Guards against a slow target that is taken for a usual one for good."""
        book = PaceBook()
        for step in range(200):
            book.record(TargetServiceTime("t0", 1, 0.2, 0.1), step * 0.1)
            book.record(TargetServiceTime("t1", 1, 0.1, 0.1), step * 0.1)
        ratio = speed_of(book, "t1") / speed_of(book, "t0")
        assert 1.5 < ratio <= 2.0, ratio

    def test_old_measurements_fade(self):
        """Guards against a target that stays avoided after its machine has recovered."""
        book = PaceBook()
        for _ in range(50):
            book.record(TargetServiceTime("t0", 1, 0.4, 0.1), 0.0)
        slow = speed_of(book, "t0")
        book.record(TargetServiceTime("t0", 1, 0.1, 0.1), 4 * MEMORY_S)
        assert speed_of(book, "t0") > 1.4 * slow

    def test_next_leader_begins_with_what_entries_were_told(self):
        """Guards against a new leader that gives slow targets as much work as fast ones."""
        book = PaceBook()
        book.inherit([TargetSpeed("t0", 1, 0.5), TargetSpeed("t1", 1, 2.0)], 0.0)
        assert speed_of(book, "t0") < 0.8 < speed_of(book, "t1")

    def test_own_measurements_go_before_inherited_speeds(self):
        """Guards against an entry that returns with an old speed."""
        book = PaceBook()
        book.record(TargetServiceTime("t0", 1, 0.1, 0.1), 0.0)
        before = speed_of(book, "t0")
        book.inherit([TargetSpeed("t0", 1, 0.4)], 0.0)
        assert speed_of(book, "t0") == before
