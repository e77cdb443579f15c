"""Short soak test of the route programs as processes, with a fixed seed."""

import asyncio

import testtools

from bench.routes.soak import run_soak

SECONDS = 8.0


class RouteSoakTest(testtools.TestCase):
    def test_guarantees_hold_under_random_faults(self):
        """Guards against faults that violate the guarantees to callers.

        These are two owners of a key, a second run of a non-idempotent request, an answer of not-run to a
        request that ran, and a plan that reverts.
        """
        self.assertEqual([], asyncio.run(run_soak(seed=1, seconds=SECONDS)))

    def test_late_copies_of_rejections_make_no_request_run_twice(self):
        """Guards against a second send that takes the answer to the first one for its own."""
        self.assertEqual([], asyncio.run(run_soak(seed=37201, seconds=SECONDS)))
