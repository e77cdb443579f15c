"""A short run of the soak of routes with real processes, from a fixed seed."""

import asyncio

import testtools

from bench.routes.soak import run_soak

SECONDS = 8.0


class RouteSoakTest(testtools.TestCase):
    def test_promises_hold_under_random_faults(self):
        """Guards against two owners, a second run, a false refusal and a plan that reverts, from outside."""
        self.assertEqual([], asyncio.run(run_soak(seed=1, seconds=SECONDS)))
