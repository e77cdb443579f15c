"""Tests of forwarding, limits and connections through a complete entry program."""

import asyncio

import testtools
from attrs import evolve

from cranberrylever.routing import ServiceView
from tests.entry.fakes import (
    TEST_TUNING,
    EntryCluster,
    FakeRequest,
    answer,
    keyed_view,
    pooled_view,
    run,
    run_entry,
    wait_until,
)

OUTCOME_HEADER = "Cranberrylever-Outcome"


async def refuse_fence(request: FakeRequest, writer) -> bytes:
    return answer(b"no", 409, **{"Cranberrylever_Outcome": "not-run"})


async def close_connection(request: FakeRequest, writer) -> None:
    return None


class ForwardingTest(testtools.TestCase):
    def test_keyed_request_carries_shard_and_fence(self):
        """Guards against keyed requests that a target cannot check against its grant."""

        async def scenario(cluster, entry):
            status, headers, body = await cluster.call("/ledger/build-1?x=1", "POST", data=b"abc")
            self.assertEqual((200, b"t2", "done"), (status, body, headers[OUTCOME_HEADER]))
            request = cluster.targets[1].requests[0]
            self.assertEqual(
                ("POST", "/ledger/build-1?x=1", b"abc"), (request.method, request.path, request.body)
            )
            self.assertEqual("7", request.headers["cranberrylever-fence"])
            self.assertIn(request.headers["cranberrylever-shard"], ("0", "1"))
            self.assertEqual("i1", request.headers["cranberrylever-target-incarnation"])
            self.assertLessEqual(int(request.headers["cranberrylever-deadline-ms"]), 10_000)

        run_entry(scenario, targets=2, version=5, owner=1, fence=7)

    def test_status_that_does_not_exist_is_an_unknown_outcome(self):
        """Guards against a status 600 that reaches a caller, or that counts as not run."""

        async def refuse_strangely(request, writer):
            return answer(b"no", 600, **{"Cranberrylever_Outcome": "not-run"})

        async def scenario(cluster, entry):
            cluster.targets[0].handler = refuse_strangely
            status, headers, _ = await cluster.call("/ledger/build-1", "POST", data=b"abc")
            self.assertEqual((502, "unknown"), (status, headers[OUTCOME_HEADER]))
            self.assertEqual(1, len(cluster.targets[0].requests))

        run_entry(scenario, targets=1)

    def test_pooled_request_reaches_a_target(self):
        """Guards against pooled requests that reach no target or carry a fence."""

        async def scenario(cluster, entry):
            status, _, _ = await cluster.call("/desk/prices")
            self.assertEqual(200, status)
            requests = cluster.targets[0].requests + cluster.targets[1].requests
            self.assertNotIn("cranberrylever-fence", requests[0].headers)

        run_entry(scenario, targets=2, view=pooled_view, version=5)

    def test_hop_by_hop_and_own_headers_are_dropped(self):
        """Guards against callers that set a fence, and connection options that reach the target."""

        async def scenario(cluster, entry):

            async def respond(request, writer):
                return answer(b"x", Connection="X-Private", X_Private="1", X_Public="2")

            cluster.targets[0].handler = respond
            headers = {
                "Connection": "keep-alive, X-Drop",
                "X-Drop": "1",
                "X-Keep": "2",
                "TE": "trailers",
                "Cranberrylever-Fence": "99",
                "Cranberrylever-Hop": "1",
            }
            _, answered, _ = await cluster.call("/ledger/k", headers=headers)
            received = cluster.targets[0].requests[0].headers
            self.assertEqual("2", received["x-keep"])
            self.assertEqual("3", received["cranberrylever-fence"])
            for name in ("x-drop", "te", "cranberrylever-hop", "connection"):
                self.assertNotIn(name, received)
            self.assertEqual("2", answered["X-Public"])
            self.assertNotIn("X-Private", answered)

        run_entry(scenario, fence=3)

    def test_request_for_free_shard_waits_for_next_view(self):
        """Guards against refusing requests, or sending them to the old owner, while a shard moves."""

        async def scenario(cluster, entry):
            call = asyncio.create_task(cluster.call("/ledger/k", "POST", data=b"x"))
            await asyncio.sleep(0.15)
            self.assertFalse(call.done())
            cluster.control.view = keyed_view(2, cluster.targets, owner=1, fence=2)
            status, _, body = await call
            self.assertEqual((200, b"t2"), (status, body))

        run_entry(scenario, targets=2, owner=-1)

    def test_held_request_ends_at_its_deadline_as_not_run(self):
        """Guards against requests that wait past their deadline, and ``unknown`` for a request never sent."""

        async def scenario(cluster, entry):
            headers = {"Cranberrylever-Deadline-Ms": "150"}
            status, answered, _ = await cluster.call("/ledger/k", headers=headers)
            self.assertEqual((503, "not-run"), (status, answered[OUTCOME_HEADER]))

        run_entry(scenario, owner=-1)

    def test_deadline_after_dispatch_is_unknown_and_cancels(self):
        """Guards against the outcome ``not-run`` for a request that a target may have run."""

        async def scenario(cluster, entry):
            cluster.targets[0].handler = lambda request, writer: asyncio.sleep(5)
            headers = {"Cranberrylever-Deadline-Ms": "100"}
            status, answered, _ = await cluster.call("/ledger/k", "POST", headers=headers)
            self.assertEqual((504, "unknown"), (status, answered[OUTCOME_HEADER]))
            await wait_until(lambda: cluster.targets[0].disconnects == 1)

        run_entry(scenario)

    def test_refused_fence_is_retried_under_the_next_view(self):
        """Guards against errors to callers when a target has released a shard that it owns in the view."""

        async def scenario(cluster, entry):
            cluster.targets[0].handler = refuse_fence
            call = asyncio.create_task(cluster.call("/ledger/k", "POST", data=b"x"))
            await wait_until(lambda: len(cluster.targets[0].requests) >= 1)
            await cluster.apply(keyed_view(2, cluster.targets, owner=1, fence=2))
            status, _, body = await call
            self.assertEqual((200, b"t2"), (status, body))

        run_entry(scenario, targets=2)

    def test_refusals_without_end_are_not_run(self):
        """Guards against retries past the deadline, and a wrong outcome, when all targets refuse."""

        async def scenario(cluster, entry):
            for target in cluster.targets:
                target.handler = refuse_fence
            headers = {"Cranberrylever-Deadline-Ms": "300"}
            status, answered, _ = await cluster.call("/desk/a", "POST", headers=headers)
            self.assertEqual((503, "not-run"), (status, answered[OUTCOME_HEADER]))

        run_entry(scenario, targets=2, view=pooled_view)

    def test_dropped_kept_connection_is_never_resent(self):
        """Guards against aiohttp's automatic resend of idempotent requests, and any resend of a POST."""

        async def scenario(cluster, entry):
            for method in ("POST", "GET", "PUT"):
                await cluster.call("/ledger/warm-up")
                entry.dispatcher.limits["ledger"].retries.tokens = 0.0
                before = len(cluster.targets[0].requests)
                cluster.targets[0].handler = close_connection
                status, answered, _ = await cluster.call("/ledger/k", method)
                self.assertEqual((method, 502, "unknown"), (method, status, answered[OUTCOME_HEADER]))
                self.assertEqual(before + 1, len(cluster.targets[0].requests))
                cluster.targets[0].handler = cluster.targets[0].answer_ok

        run_entry(scenario)

    def test_zero_retry_ratio_disables_retries(self):
        """Guards against retries that an operator has disabled because they add to an overload."""

        async def scenario(cluster, entry):
            for target in cluster.targets:
                target.handler = close_connection
            await cluster.call("/desk/a")
            self.assertEqual(1, sum(len(target.requests) for target in cluster.targets))

        run_entry(scenario, targets=2, view=pooled_view, ratios={"retry_ratio": 0.0})

    def test_idempotent_request_is_retried_within_the_budget(self):
        """Guards against returning an error for an idempotent request that another target can serve."""

        async def scenario(cluster, entry):
            cluster.targets[0].handler = close_connection
            for _ in range(10):
                status, _, body = await cluster.call("/desk/a")
                self.assertEqual((200, b"t2"), (status, body))
            self.assertTrue(cluster.targets[0].requests)

        run_entry(scenario, targets=2, view=pooled_view)

    def test_redirects_are_passed_on(self):
        """Guards against aiohttp following a redirect, which sends a request past the routing rules."""

        async def scenario(cluster, entry):

            async def redirect(request, writer):
                return answer(b"", 302, Location="/ledger/other")

            cluster.targets[0].handler = redirect
            status, answered, _ = await cluster.call("/ledger/k", allow_redirects=False)
            self.assertEqual((302, "/ledger/other"), (status, answered["Location"]))
            self.assertEqual(1, len(cluster.targets[0].requests))

        run_entry(scenario)

    def test_limits_on_requests(self):
        """Guards against request bodies and headers that exhaust the memory of an entry."""

        async def main():
            async with EntryCluster() as cluster:
                view = keyed_view(1, cluster.targets)
                small = evolve(view.services[0], max_body_bytes=10)
                cluster.control.view = evolve(view, services=(small, ServiceView("desk", "pooled")))
                await cluster.start_entry()

                async def chunks():
                    for _ in range(5):
                        yield b"12345"

                for data in (b"12345678901", chunks()):
                    status, answered, _ = await cluster.call("/ledger/k", "POST", data=data)
                    self.assertEqual((413, "not-run"), (status, answered[OUTCOME_HEADER]))
                status, answered, _ = await cluster.call("/ledger/k", headers={"X-Large": "x" * 40_000})
                self.assertEqual((431, "not-run"), (status, answered[OUTCOME_HEADER]))
                for path, expected in (("/none/k", 404), ("/ledger", 400)):
                    status, answered, _ = await cluster.call(path)
                    self.assertEqual((expected, "not-run"), (status, answered[OUTCOME_HEADER]))
                self.assertEqual([], cluster.targets[0].requests)

        run(main)

    def test_header_bytes_and_empty_answers_pass_unchanged(self):
        """Guards against header values that are re-encoded, and a 304 that breaks the connection."""

        async def scenario(cluster, entry):

            async def unchanged(request, writer):
                return b"HTTP/1.1 304 X\r\ncontent-length: 10\r\netag: 1\r\n\r\n"

            cluster.targets[0].handler = unchanged
            status, answered, _ = await cluster.call("/ledger/k", headers={"X-Name": "h\u00fctte"})
            self.assertEqual((304, "1"), (status, answered["etag"]))
            received = cluster.targets[0].requests[0].headers["x-name"]
            self.assertEqual("h\u00fctte", received.encode("latin-1").decode())

        run_entry(scenario)


class ConnectionTest(testtools.TestCase):
    def test_connections_are_limited_in_number_and_time(self):
        """Guards against callers that open many connections or never complete their headers."""

        async def main():
            async with EntryCluster() as cluster:
                cluster.control.view = keyed_view(1, cluster.targets)
                tuning = evolve(TEST_TUNING, max_connections=2, header_timeout=0.2)
                entry = await cluster.start_entry(tuning)
                host, port = entry.bound_address.split(":")
                idle = [await asyncio.open_connection(host, int(port)) for _ in range(2)]
                idle[0][1].write(b"GET /ledger/k HTTP/1.1\r\nHost:")
                reader, writer = await asyncio.open_connection(host, int(port))
                self.assertEqual(b"", await asyncio.wait_for(reader.read(), 1))
                for waiting, _ in idle:
                    self.assertEqual(b"", await asyncio.wait_for(waiting.read(), 1))
                status, _, _ = await cluster.call("/ledger/k")
                self.assertEqual(200, status)
                for _, opened in (*idle, (reader, writer)):
                    opened.close()

        run(main)

    def test_unexpected_failure_is_answered_and_logged(self):
        """Guards against internal errors of the entry that leave the caller without an outcome."""

        async def scenario(cluster, entry):
            entry.dispatcher.run = None
            status, answered, _ = await cluster.call("/ledger/k", "POST")
            self.assertEqual((500, "not-run"), (status, answered[OUTCOME_HEADER]))

        run_entry(scenario)

    def test_answers_are_streamed(self):
        """Guards against responses that are buffered until they are complete."""

        async def scenario(cluster, entry):
            second_part = asyncio.Event()

            async def respond(request, writer):
                writer.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n")
                await second_part.wait()
                return b"3\r\ndef\r\n0\r\n\r\n"

            cluster.targets[0].handler = respond
            url = f"http://{cluster.entries[0].bound_address}/ledger/k"
            async with cluster.session.get(url) as response:
                self.assertEqual(b"abc", await response.content.readany())
                second_part.set()
                self.assertEqual(b"def", await response.read())

        run_entry(scenario)

    def test_truncated_answer_breaks_the_connection(self):
        """Guards against a truncated response that looks complete to the caller."""

        async def scenario(cluster, entry):
            for head in (b"content-length: 10", b"transfer-encoding: chunked"):

                async def respond(request, writer, head=head):
                    writer.write(b"HTTP/1.1 200 OK\r\n" + head + b"\r\n\r\n3\r\nabc\r\n")
                    await writer.drain()

                cluster.targets[0].handler = respond
                host, port = entry.bound_address.split(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /ledger/k HTTP/1.1\r\nHost: x\r\n\r\n")
                received = await asyncio.wait_for(reader.read(), 2)
                self.assertIn(b"abc", received)
                self.assertFalse(received.endswith(b"0\r\n\r\n"))
                writer.close()

        run_entry(scenario)

    def test_caller_that_leaves_cancels_the_work(self):
        """Guards against work after the caller disconnected, and a late response on a reused connection."""

        async def scenario(cluster, entry):

            async def late(request, writer):
                await asyncio.sleep(0.3)
                return answer(b"late")

            cluster.targets[0].handler = late
            host, port = entry.bound_address.split(":")
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"POST /ledger/k HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
            await wait_until(lambda: len(cluster.targets[0].requests) == 1)
            writer.close()
            await wait_until(lambda: cluster.targets[0].disconnects == 1)
            cluster.targets[0].handler = cluster.targets[0].answer_ok
            _, _, body = await cluster.call("/ledger/k")
            self.assertEqual(b"t1", body)
            self.assertEqual(set(), entry.in_flight.attempts)

        run_entry(scenario)

    def test_concurrent_answers_reach_their_own_callers(self):
        """Guards against responses delivered to the wrong caller when requests are cancelled."""

        async def scenario(cluster, entry):

            async def echo(request, writer):
                await asyncio.sleep((hash(request.path) % 20) / 1000)
                return answer(request.path.encode())

            cluster.targets[0].handler = echo

            async def call_one(number):
                headers = {"Cranberrylever-Deadline-Ms": "30" if number % 3 == 0 else "5000"}
                status, _, body = await cluster.call(f"/ledger/{number}", headers=headers)
                if status == 200:
                    self.assertEqual(f"/ledger/{number}".encode(), body)

            await asyncio.gather(*(call_one(number) for number in range(150)))

        run_entry(scenario)

    def test_shutdown_finishes_requests(self):
        """Guards against requests interrupted by a planned stop, and a stop before readiness fails."""

        async def main():
            async with EntryCluster() as cluster:
                cluster.control.view = keyed_view(1, cluster.targets)
                entry = await cluster.start_entry(drain_delay=0.2)

                async def slow(request, writer):
                    await asyncio.sleep(0.4)
                    return answer(b"slow")

                cluster.targets[0].handler = slow
                call = asyncio.create_task(cluster.call("/ledger/k"))
                await wait_until(lambda: len(cluster.targets[0].requests) == 1)
                cluster.entries.clear()
                closing = asyncio.create_task(entry.close())
                await asyncio.sleep(0.05)
                url = f"http://{entry.bound_address}/readyz"
                async with cluster.session.get(url) as response:
                    self.assertEqual(503, response.status)
                status, answered, body = await call
                self.assertEqual((200, b"slow"), (status, body))
                await closing

        run(main)
