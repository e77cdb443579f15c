"""Entries are stopped and started in turn while they serve requests that take up to four seconds."""

import asyncio
import random
import signal
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / "common"))

from harness import (  # noqa: E402
    GRACE_S,
    HOST,
    CannotRunError,
    Server,
    System,
    encode_message,
    main,
    read_message,
    route,
    service,
)

ZONES = ["lhr-a", "lhr-b", "skt-a"]
DEADLINE_S = 4.0  # renewal on pbdtc-gate-grown: deadline 4,000 ms, work up to 4,100 ms
SHORT_WORK_MS = (300, 900)
LONG_WORK_MS = (2400, 3900)
LONG_SHARE = 0.5
CLIENTS = 200
ROUNDS = 2
LAST_SIXTH_S = GRACE_S * 5 / 6
LATEST_SENT_S = 3.0


class PooledClient:
    """A client that keeps its connection to one entry, and opens another one when that is closed."""

    def __init__(self, system, number, balancer):
        self.system = system
        self.number = number
        self.balancer = balancer
        self.requests = 0
        self.results = []

    async def run(self):
        """Send one request after the other, with pauses."""
        while True:
            entry = self.balancer.pick()
            try:
                reader, writer = await asyncio.open_connection(entry.ip, self.system.front_port)
            except OSError:
                await asyncio.sleep(0.1)
                continue
            try:
                while await self._exchange(entry, reader, writer):
                    await asyncio.sleep(random.uniform(0.1, 2.0))
            finally:
                writer.transport.abort()
            await asyncio.sleep(random.uniform(0.05, 0.5))

    async def _exchange(self, entry, reader, writer):
        """Send a request and read its answer; return whether the connection may be used again."""
        if reader.at_eof() or writer.is_closing():
            return False
        self.requests += 1
        request_id = f"k{self.number}-{self.requests}"
        work = random.uniform(*(LONG_WORK_MS if random.random() < LONG_SHARE else SHORT_WORK_MS))
        path = f"/renewal/{int(work)}"
        headers = {
            "Host": HOST,
            "Cranberrylever-Request-Id": request_id,
            "Cranberrylever-Deadline-Ms": str(int(DEADLINE_S * 1000)),
        }
        sent_at = self.system.record.now()
        status = 0
        answer = {}
        try:
            async with asyncio.timeout(DEADLINE_S + 0.2):
                writer.write(encode_message(f"POST {path} HTTP/1.1", headers, b"x" * 200))
                line, answer, _ = await read_message(reader)
                status = int(line.split()[1])
        except TimeoutError:
            status = -1  # the client gave up at its deadline
        except (OSError, asyncio.IncompleteReadError):
            status = 0
        ended_at = self.system.record.now()
        self.results.append((request_id, entry.name, sent_at, ended_at, status))
        self.system.record.write(f"client {request_id} {path} by {entry.name} sent {sent_at:.3f}: {status}")
        return status > 0 and answer.get("connection", "").lower() != "close"


class Balancer:
    """Asks each entry once a second whether it is ready; two misses take it out."""

    def __init__(self, system):
        self.system = system
        self.misses = {program.name: 0 for program in system.entries}

    async def watch(self, program):
        """Ask one entry, from a random moment on."""
        await asyncio.sleep(random.random())
        while True:
            is_ready = False
            try:
                async with asyncio.timeout(0.9):
                    reader, writer = await asyncio.open_connection(program.ip, self.system.front_port + 1)
                    writer.write(encode_message("GET /readyz HTTP/1.1", {"Host": program.ip}))
                    line, _, _ = await read_message(reader)
                    is_ready = " 200 " in line
                    writer.transport.abort()
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                pass
            self.misses[program.name] = 0 if is_ready else self.misses[program.name] + 1
            await asyncio.sleep(1.0)

    def pick(self):
        """Return an entry in rotation."""
        ready = [program for program in self.system.entries if self.misses[program.name] < 2]
        return random.choice(ready or self.system.entries)


async def stop_and_start(system, program, stops):
    """Stop an entry with SIGTERM, kill it after the grace period, and start it again."""
    stops.append((program.name, system.record.now()))
    program.send_signal(signal.SIGTERM)
    for _ in range(int(GRACE_S / 0.05)):
        await asyncio.sleep(0.05)
        if program.has_ended():
            break
    else:
        program.send_signal(signal.SIGKILL)
        program.process.wait()
    await system.restart(program)


def find_lost(stops, results, servers):
    """Return the requests that an entry broke off around its SIGTERM, by the rule LOST."""
    runs = {}
    for server in servers:
        for began_at, request_id, _, path in server.runs:
            runs[request_id] = began_at, int(path.rsplit("/", 1)[-1]) / 1000
    lost = []
    for name, stopped_at in stops:
        for request_id, entry, sent_at, ended_at, status in results:
            is_planned = stopped_at - 3.0 < sent_at and stopped_at < ended_at < stopped_at + GRACE_S + 1.0
            if entry != name or not is_planned or status == 200 or request_id not in runs:
                continue
            began_at, work = runs[request_id]
            is_deadline_reached = status == -1 or ended_at >= sent_at + DEADLINE_S - 0.05
            was_at_work_late = ended_at >= stopped_at + LAST_SIXTH_S and sent_at <= stopped_at + LATEST_SENT_S
            if is_deadline_reached or was_at_work_late:
                continue
            # Left out as well: work that would have lasted into the last sixth, which may be excused.
            if began_at + work >= stopped_at + LAST_SIXTH_S:
                continue
            worked_until = began_at + work - stopped_at
            lost.append(
                f"LOST {request_id} sent {sent_at - stopped_at:+.2f} s after SIGTERM of {name},"
                f" work of {work:.2f} s until {worked_until:+.2f} s,"
                f" ended at {ended_at - stopped_at:+.2f} s with status {status}"
            )
    return lost


async def script(system: System, trouble: bool):
    """Stop and start each entry in turn, twice."""
    record = system.record
    system.start(ZONES, [*ZONES, ZONES[0]])
    servers = []
    for number in range(12):
        ip = f"{system.network}.{150 + number}"
        zone = ZONES[number % len(ZONES)]
        servers.append(await Server(system, f"i-{number}", "seals", zone, ip, slots=40, queue=20).start())
    # As on the site: timeout and deadline of a renewal are the same.
    plan = system.plan(3, [route("renewal", "seals", "unsafe", DEADLINE_S, 3.5)], [service("seals")])
    if (await system.put(plan, 0))[0] != 200:
        raise CannotRunError("the configuration is not accepted")
    await system.wait_ready()
    balancer = Balancer(system)
    for program in system.entries:
        system.spawn(balancer.watch(program))
    clients = [PooledClient(system, number, balancer) for number in range(CLIENTS)]
    for client in clients:
        system.spawn(client.run())
    await asyncio.sleep(5.0)
    stops = []
    for _ in range(ROUNDS):
        for program in system.entries:
            if trouble:
                await stop_and_start(system, program, stops)
            await asyncio.sleep(6.0)
    results = [result for client in clients for result in client.results]
    statuses = sorted({result[4] for result in results})
    record.say(
        f"{len(results)} requests: "
        + ", ".join(
            f"{sum(result[4] == status for result in results)} with status {status}" for status in statuses
        )
    )
    return find_lost(stops, results, servers)


if __name__ == "__main__":
    main(CASE, script, ZONES)
