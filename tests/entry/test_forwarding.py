"""Tests of forwarding through a whole entry."""

import testtools

from tests.entry.fakes import World, keyed_view, pooled_view, run


class ForwardingTest(testtools.TestCase):
    def test_keyed_request_carries_shard_and_fence(self):
        """Guards against requests that a target cannot check against its grant."""

        async def main():
            async with World(2) as world:
                world.control.view = keyed_view(5, world.targets, owner=1, fence=7)
                await world.start_entry()
                status, headers, body = await world.call("/ledger/build-1?x=1", "POST", data=b"abc")
                self.assertEqual((200, b"t2", "done"), (status, body, headers["Cranberrylever-Outcome"]))
                request = world.targets[1].requests[0]
                self.assertEqual(
                    ("POST", "/ledger/build-1?x=1", b"abc"), (request.method, request.path, request.body)
                )
                self.assertEqual("7", request.headers["cranberrylever-fence"])
                self.assertIn(request.headers["cranberrylever-shard"], ("0", "1"))
                self.assertEqual("i1", request.headers["cranberrylever-target-incarnation"])
                self.assertLessEqual(int(request.headers["cranberrylever-deadline-ms"]), 10_000)

        run(main)

    def test_pooled_request_reaches_a_target(self):
        """Guards against pooled requests that carry a fence or reach no target."""

        async def main():
            async with World(2) as world:
                world.control.view = pooled_view(5, world.targets)
                await world.start_entry()
                status, _, _ = await world.call("/desk/prices")
                self.assertEqual(200, status)
                requests = world.targets[0].requests + world.targets[1].requests
                self.assertNotIn("cranberrylever-fence", requests[0].headers)

        run(main)
