"""Servers of a keyed service shed requests and repeat some answers late, with the same request id."""

import asyncio
import collections
import random
import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "common"))

from harness import (  # noqa: E402
    KEYS,
    NEVER_EXECUTED,
    CannotRunError,
    Client,
    Server,
    System,
    encode_message,
    main,
    route,
    service,
)

ZONES = ["puget", "willamette", "olympic"]
SHED_X = 0.2  # srv_grey "shed all" of trouble-2: x up to 0.55, for 8.5 s
GARBLE_SHARE = 0.6  # garble "extra late": share up to 0.6, x up to 0.03, for 5 s
GARBLE_X = 0.03
SPELL_S = 5.0
SPELLS = 10
PAUSE_S = 1.0
REQUESTS_PER_S = 160
WORK_MS = 60
PROMISES = (408, 421, 429, 503)


class FaultyServer(Server):
    """A server that sheds a share of its requests, and repeats some answers where the next one is due."""

    sheds = 0.0
    repeats = 0.0

    async def handle(self, writer, method, path, headers, body):
        """Send the extra answer that is pending on a connection before the next one."""
        extra = getattr(writer, "extra_answer", b"")
        writer.extra_answer = b""
        if extra:
            request_id = headers.get("cranberrylever-request-id", "")
            status = extra.split(b" ", 2)[1].decode()
            self.record.write(
                f"server {self.name} sends an extra answer {status} where that to {request_id} is due"
            )
            writer.write(extra)
        await super().handle(writer, method, path, headers, body)

    async def reply(self, writer, status, headers=None, body=b""):
        """Send an answer; some answers to requests come again later on the connection."""
        await super().reply(writer, status, headers, body)
        if "Cranberrylever-Request-Id" in (headers or {}) and random.random() < self.repeats:
            writer.extra_answer = encode_message(
                f"HTTP/1.1 {status} X", {"Keep-Alive": "timeout=10", **headers}, body
            )

    async def run_request(self, writer, method, path, headers, body):
        """Reject a share of the requests without running them."""
        if random.random() < self.sheds:
            self.record.write(f"server {self.name} sheds {headers.get('cranberrylever-request-id')}")
            await self.reply(writer, 503, {**NEVER_EXECUTED, **self._echo(headers), **self._load()})
            return
        await super().run_request(writer, method, path, headers, body)


async def script(system: System, trouble: bool):
    """Send requests that may run once, in spells with and without the faults."""
    system.start(ZONES, [*ZONES, ZONES[0]])
    servers = []
    for number in range(10):
        ip = f"{system.network}.{150 + number}"
        zone = ZONES[number % len(ZONES)]
        servers.append(
            await FaultyServer(system, f"i-{number}", "project-ledger", zone, ip, sharded=True).start()
        )
    plan = system.plan(
        3,
        [route("visit-booking", "project-ledger", "unsafe", timeout_s=1.0, slo_s=0.4, attempts=2)],
        [service("project-ledger", sharded=True)],
    )
    if (await system.put(plan, 0))[0] != 200:
        raise CannotRunError("the configuration is not accepted")
    await system.wait_ready()
    await asyncio.sleep(5.0)
    client = Client(system)
    path = f"/visit-booking/{WORK_MS}"
    for _ in range(SPELLS):
        faulty = random.sample(servers, int(GARBLE_SHARE * len(servers)))
        for server in servers:
            server.sheds = SHED_X if trouble else 0.0
            server.repeats = GARBLE_X if trouble and server in faulty else 0.0
        end = time.monotonic() + SPELL_S
        while time.monotonic() < end:
            key = random.randrange(KEYS)
            system.spawn(client.send(path, "POST", key, 1000, body=b"x" * 400))
            await asyncio.sleep(1 / REQUESTS_PER_S)
        for server in servers:
            server.sheds = server.repeats = 0.0
        await asyncio.sleep(PAUSE_S)
    await asyncio.sleep(2.0)

    runs = collections.defaultdict(list)
    for server in servers:
        for _, request_id, _, _ in server.runs:
            runs[request_id].append(server.name)
    broken = [
        f"TWICE {key} ran {len(where)} times, at {where}" for key, where in runs.items() if len(where) > 1
    ]
    broken += [
        f"REFUSED {key} was answered {status} and ran"
        for key, (_, status) in client.answers.items()
        if status in PROMISES and key in runs
    ]
    statuses = collections.Counter(status for _, status in client.answers.values())
    system.record.say(f"{len(client.answers)} requests, by status {dict(statuses)}")
    return broken


if __name__ == "__main__":
    main(CASE, script, ZONES)
