"""Replays of an entry at which one customer asks for more than there is room for."""

import random

import testtools

from cranberrylever.quota import FairShares, fair_level

ROOM = 20.0
"""Requests per second that find room."""

QUEUE = 10.0
"""Requests that find room at once after a pause: slots and short queues."""

CUSTOMERS = 73
SECONDS = 60.0
HEAVY = 0


def replay(loads, priorities, is_fair=True, seed=1):
    """Send requests at random times; return the share of its requests that each customer has served.

    Args:
        loads: Requests per second by customer.
        priorities: Priorities by customer.
        is_fair: Whether the decision applies.
        seed: Seed of the arrivals.
    """
    rng = random.Random(seed)
    shares = FairShares()
    asked, served = [0] * len(loads), [0] * len(loads)
    room, now, last = QUEUE, 0.0, 0.0
    while now < SECONDS:
        now += rng.expovariate(sum(loads))
        room, last = min(QUEUE, room + ROOM * (now - last)), now
        number = rng.choices(range(len(loads)), loads)[0]
        asked[number] += 1
        if shares.admission_delay(str(number), priorities[number], 10.0 + number, now) and is_fair:
            continue
        if room < 1.0:
            shares.record_shortage(str(number), now)
            continue
        room -= 1.0
        served[number] += 1
        shares.record_served(now)
    return [count / max(1, total) for count, total in zip(served, asked, strict=True)]


def mean(values):
    """Return the mean."""
    return sum(values) / len(values)


def lost(served):
    """Return the mean share of requests that were refused."""
    return 1.0 - mean(served)


class FairSharesTest(testtools.TestCase):
    """Priority first, then shares by weight."""

    def test_one_customer_with_twice_the_load(self):
        """Guards against a customer whose load pushes the others out."""
        light = 0.9 * ROOM / (CUSTOMERS - 1)
        loads = [1.1 * ROOM] + [light] * (CUSTOMERS - 1)
        for seed in range(5):
            served = replay(loads, [1] * CUSTOMERS, seed=seed)
            blind = replay(loads, [1] * CUSTOMERS, is_fair=False, seed=seed)
            worst = mean(sorted(served)[: CUSTOMERS // 10])
            assert worst >= 0.5 * mean(served), (worst, mean(served))
            assert lost(served[1:]) <= 0.5 * lost(blind[1:]), (lost(served[1:]), lost(blind[1:]))

    def test_room_is_used(self):
        """Guards against a decision that refuses more than the lack of room does."""
        loads = [2.0 * ROOM] + [0.2 * ROOM / 9] * 9
        served = replay(loads, [1] * 10)
        total = sum(share * load for share, load in zip(served, loads, strict=True))
        assert total >= 0.9 * ROOM, total

    def test_priority_comes_first(self):
        """Guards against customers of low priority that leave no room for those of high priority."""
        loads = [0.5 * ROOM / 10] * 10 + [1.5 * ROOM / 10] * 10
        served = replay(loads, [0] * 10 + [2] * 10)
        blind = replay(loads, [0] * 10 + [2] * 10, is_fair=False)
        assert lost(served[:10]) <= 0.5 * lost(blind[:10]), (lost(served[:10]), lost(blind[:10]))

    def test_nobody_is_refused_while_there_is_room(self):
        """Guards against a share that applies although targets have room."""
        shares = FairShares()
        assert not any(shares.admission_delay("a", 1, 1.0, number / 1000) for number in range(1000))

    def test_level(self):
        """Guards against shares that are not used by some and not given to others."""
        assert fair_level([(1.0, 1.0), (10.0, 1.0), (10.0, 1.0)], 9.0) == 4.0
        assert fair_level([(10.0, 1.0), (10.0, 3.0)], 8.0) == 2.0
        assert fair_level([(1.0, 1.0)], 8.0) == float("inf")
