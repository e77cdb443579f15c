"""Tests of the stand-in target over HTTP."""

import asyncio
import contextlib
import json
import tempfile
from pathlib import Path

import aiohttp
import testtools
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse
from starlette.routing import Route

from cranberrylever.http_server import HttpServer
from cranberrylever.membership import Announcement
from cranberrylever.settings import TargetSettings
from cranberrylever.target import create_target
from cranberrylever.target._announcer import Announcer


@contextlib.asynccontextmanager
async def running_target(**changes):
    """Start a target and a client for it and yield (program, session)."""
    settings = TargetSettings(
        **{
            "target_id": "t1",
            "service": "project-ledger",
            "listen": "127.0.0.1:0",
            "control": (),
            "failure_domain": "a",
            "service_time_ms": 1.0,
            **changes,
        }
    )
    program = create_target(settings)
    await program.start()
    async with aiohttp.ClientSession(f"http://{program.bound_address}") as session:
        try:
            yield program, session
        finally:
            await program.stop()


async def grant(program, session, sequence=1, lifetime_ms=60_000, shards=((7, 70),), version=1):
    order = {
        "cluster_id": "c",
        "target_id": "t1",
        "incarnation": program.incarnation,
        "term": 1,
        "sequence": sequence,
        "expires_at_ms": program.executor.now() * 1000 + lifetime_ms,
        "version": version,
        "shards": shards,
        "tickets_version": 0,
    }
    async with session.post("/-/grant", json=order) as answer:
        return answer.status, await answer.json()


async def call(session, path, method="POST", **headers):
    names = {f"Cranberrylever-{name.replace('_', '-')}": str(value) for name, value in headers.items()}
    async with session.request(method, path, headers=names) as answer:
        return answer.status, answer.headers.get("Cranberrylever-Outcome"), await answer.json()


class TargetProgramTest(testtools.TestCase):
    def test_request_runs_only_under_the_granted_fence(self):
        """Guards against a request with an old fence that runs concurrently with the new owner's work."""

        async def main():
            async with running_target() as (program, session):
                status, reply = await grant(program, session)
                refused = await call(session, "/project-ledger/build-1", Shard=7, Fence=69)
                accepted = await call(
                    session, "/project-ledger/build-1?n=5", Shard=7, Fence=70, Request_Id="r1"
                )
                stale, _ = await grant(program, session, sequence=1)
                async with session.get("/-/runs") as answer:
                    report = await answer.json()
                return status, reply, refused, accepted, stale, report

        status, reply, refused, accepted, stale, report = asyncio.run(main())
        self.assertEqual(
            (200, 1, [], "warm"), (status, reply["version"], reply["busy_shards"], reply["state"])
        )
        self.assertEqual((409, "not-run"), refused[:2])
        self.assertEqual((200, None), accepted[:2])
        self.assertEqual("/project-ledger/build-1?n=5", accepted[2]["path"])
        self.assertEqual(409, stale)
        self.assertEqual(1, len(report["runs"]))
        run = report["runs"][0]
        self.assertEqual(
            ("r1", "build-1", 7, 70, "done"),
            tuple(run[name] for name in ("request_id", "key", "shard", "fence", "outcome")),
        )

    def test_work_outliving_its_grant_stops(self):
        """Guards against work that outlives its grant and overlaps with the next owner's work on the key."""

        async def main():
            async with running_target() as (program, session):
                await grant(program, session, lifetime_ms=150)
                return await call(session, "/project-ledger/b?ms=2000", Shard=7, Fence=70)

        self.assertEqual((500, "unknown"), asyncio.run(main())[:2])

    def test_released_shard_is_busy_until_its_work_ends(self):
        """Guards against a shard that control frees too early because running work is not reported."""

        async def main():
            async with running_target() as (program, session):
                await grant(program, session)
                work = asyncio.create_task(call(session, "/project-ledger/b?ms=150", Shard=7, Fence=70))
                await asyncio.sleep(0.05)
                _, during = await grant(program, session, sequence=2, shards=(), version=2)
                outcome = await work
                _, after = await grant(program, session, sequence=3, shards=(), version=2)
                return during["busy_shards"], outcome[0], after["busy_shards"]

        self.assertEqual(([7], 200, []), asyncio.run(main()))

    def test_deadline_cancel_and_disconnect_end_work(self):
        """Guards against work without a waiting caller that keeps its slot."""

        async def main():
            async with running_target(slots=1) as (program, session):
                late = await call(session, "/s/a?ms=2000", Deadline_Ms=60)
                work = asyncio.create_task(call(session, "/s/b?ms=2000", Request_Id="r2"))
                await asyncio.sleep(0.05)
                queued = await call(session, "/s/c", Deadline_Ms=50)
                async with session.post("/-/cancel", json={"request_id": "r2"}):
                    cancelled = await work
                gone = asyncio.create_task(call(session, "/s/d?ms=2000"))
                await asyncio.sleep(0.05)
                gone.cancel()
                await asyncio.sleep(0.05)
                return (
                    late,
                    queued,
                    cancelled,
                    program.admission.running,
                    [r.outcome for r in program.record.runs],
                )

        late, queued, cancelled, held, outcomes = asyncio.run(main())
        self.assertEqual((504, "unknown"), late[:2])
        self.assertEqual((503, "not-run"), queued[:2])
        self.assertEqual((499, "unknown"), cancelled[:2])
        self.assertEqual(0, held)
        self.assertEqual(["deadline", "cancelled", "cancelled"], outcomes)

    def test_cold_target_sheds_and_reports_its_state(self):
        """Guards against an unannounced cold start that entries miss; only this response reports it."""

        async def main():
            async with running_target() as (program, session):
                async with session.post("/-/fault", json={"cold": True}):
                    pass
                work = asyncio.create_task(call(session, "/s/a?ms=50"))
                await asyncio.sleep(0.03)
                async with session.post("/s/b") as answer:
                    shed = answer.status, answer.headers["Cranberrylever-Target-State"]
                return shed, (await work)[0], program.admission.overloads

        self.assertEqual(((503, "cold"), 200, 1), asyncio.run(main()))

    def test_crash_drops_connections_and_keeps_the_record(self):
        """Guards against a crash that sends responses or loses the record of started requests."""

        async def main(path):
            async with running_target(record=path) as (program, session):
                async with session.post("/-/fault", json={"crash_path": "/s/poison"}):
                    pass
                other = asyncio.create_task(call(session, "/s/a?ms=2000", Request_Id="r1"))
                await asyncio.sleep(0.05)
                crash = asyncio.create_task(call(session, "/s/poison", Request_Id="r2"))
                results = await asyncio.gather(other, crash, return_exceptions=True)
                with testtools.ExpectedException(aiohttp.ClientConnectorError):
                    await call(session, "/s/b")
                return results, program.crashed.is_set()

        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "runs"
            results, crashed = asyncio.run(main(str(path)))
            lines = [json.loads(line) for line in path.read_text().splitlines()]
        self.assertTrue(all(isinstance(result, aiohttp.ClientError) for result in results), results)
        self.assertTrue(crashed)
        self.assertEqual(
            [("r1", "running"), ("r2", "running")], [(r["request_id"], r["outcome"]) for r in lines]
        )

    def test_frozen_target_resumes_and_refuses_the_old_grant(self):
        """Guards against a target suspended past its grant that then runs the requests in its buffers."""

        async def main():
            async with running_target() as (program, session):
                await grant(program, session, lifetime_ms=100)
                async with session.post("/-/fault", json={"freeze_ms": 200}):
                    pass
                return await call(session, "/s/a", Shard=7, Fence=70)

        self.assertEqual((409, "not-run"), asyncio.run(main())[:2])

    def test_target_announces_to_the_next_member_and_leaves(self):
        """Guards against a target that receives work until it closes, because it announces no leaving."""
        received = []

        async def announce(request: Request):
            received.append(await request.json())
            return JSONResponse({})

        async def main():
            control = HttpServer(
                Starlette(routes=[Route("/v1/announce", announce, methods=["POST"])]), "127.0.0.1:0"
            )
            await control.start()
            async with running_target(control=("127.0.0.1:1", control.bound_address)) as (program, session):
                while not received:
                    await asyncio.sleep(0.02)
                work = asyncio.create_task(call(session, "/s/a?ms=300"))
                await asyncio.sleep(0.05)
                await program.close()
                result = await work
            await control.close()
            return result, program.bound_address

        result, address = asyncio.run(main())
        self.assertEqual(200, result[0])
        self.assertEqual((address, False), (received[0]["address"], received[0]["leaving"]))
        self.assertTrue(received[-1]["leaving"])

    def test_answer_without_a_status_that_exists_is_no_acknowledgement(self):
        """Guards against a target that counts as announced because something else answered."""

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 %s X\r\ncontent-length: 0\r\nconnection: close\r\n\r\n" % statuses.pop(0))
            writer.close()

        async def main():
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
            announcement = Announcement("t1", "s", "127.0.0.1:1", "a", "1", 1, 1)
            announcer = Announcer((address,), "", lambda: announcement, asyncio.Event())
            async with aiohttp.ClientSession() as session, server:
                return [await announcer.announce(session) for _ in range(len(statuses))]

        statuses = [b"000", b"099", b"503", b"200"]
        self.assertEqual([False, False, False, True], asyncio.run(main()))

    def test_close_ends_while_control_is_unreachable(self):
        """Guards against an announcer that loses a cancellation when the state changes in the same step."""

        async def main():
            async with running_target(control=("127.0.0.1:1",)) as (program, _):
                await asyncio.sleep(0.05)
                async with asyncio.timeout(3):
                    await program.close()

        asyncio.run(main())
