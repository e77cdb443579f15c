"""Replays of the load of many entries on a pooled service, with the dispatchers of all entries."""

import functools
import operator

import testtools

from bench.experiments.choices import simulation_of
from bench.experiments.pool import PoolResult, PoolSimulation, simulate
from bench.experiments.pool_target import PoolLoad
from cranberrylever.route_entry._estimates import ServiceTimeEstimator

SECONDS = 10
AT_RANDOM = "at random by capacity"


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
            at_random = replay(rate, 80, simulation_of(AT_RANDOM)).credit_share
            assert chosen >= at_random, (rate, chosen, at_random)

    def test_few_entries_use_what_they_know_of_the_targets(self):
        """Guards against a random choice where each entry sees much of the load, so that it knows better."""
        chosen = replay(163, 10).credit_share
        at_random = replay(163, 10, simulation_of(AT_RANDOM)).credit_share
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
