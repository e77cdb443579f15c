"""Replays of the load of many entries on a pooled service, with the dispatchers of all entries."""

import functools
import operator
import random

import testtools

from bench.experiments.pool import PoolResult, PoolSimulation, simulate
from bench.experiments.pool_target import PoolLoad
from cranberrylever.route_entry._estimates import ServiceTimeEstimator

SECONDS = 10


class RandomChoiceSimulation(PoolSimulation):
    """Simulation whose entries choose targets at random in proportion to capacity."""

    def _create_entry(self, domain):
        dispatcher = super()._create_entry(domain)
        rng = random.Random(self.rng.random())

        async def choose_at_random(request, state):
            targets = dispatcher.view.usable_targets(request.service.name)
            capacities = [target.info.slots * target.info.speed for target in targets]
            return rng.choices(targets, capacities)[0]

        dispatcher.selector._choose_target = choose_at_random
        return dispatcher


def replay(rate, entries, simulation=PoolSimulation):
    """Return the result of all requests of ten seconds at ``rate`` requests per second, for two seeds."""
    load = PoolLoad((rate,) * SECONDS, entries)
    results = [result for seed in (1, 2) for result in simulate(load, seed, simulation).values()]
    return functools.reduce(operator.add, results, PoolResult())


class PooledLoadTest(testtools.TestCase):
    def test_many_entries_do_not_overload_a_few_pooled_targets(self):
        """Guards against 80 entries that choose the same 4 of 21 targets, all half idle (pbdtc-gate-grown).

        A choice by estimates must not serve callers worse than one that uses no estimate of load at all.
        """
        for rate in (163, 260):
            chosen = replay(rate, 80).credit_share
            at_random = replay(rate, 80, RandomChoiceSimulation).credit_share
            assert chosen >= at_random, (rate, chosen, at_random)

    def test_few_entries_use_what_they_know_of_the_targets(self):
        """Guards against a random choice where each entry sees much of the load, so that it knows better."""
        chosen = replay(163, 10).credit_share
        at_random = replay(163, 10, RandomChoiceSimulation).credit_share
        assert chosen >= at_random, (chosen, at_random)


class ServiceTimeTest(testtools.TestCase):
    def test_service_time_is_known_after_a_few_requests(self):
        """Guards against estimates of queues that are too low for as long as an entry has few requests.

        One of 80 entries has two requests per second on a route; it has to know their service time within
        10 s of its start, since admission and the work reported to control follow from it.
        """
        service_times = ServiceTimeEstimator()
        for _ in range(20):
            service_times.record("r", 0.29)
        assert abs(service_times.expected("r") - 0.29) < 0.1 * 0.29, service_times.expected("r")
