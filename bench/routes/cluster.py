"""Control members, entries and fake targets of a soak test, with relays before members and targets."""

import asyncio
import json
import shutil
import tempfile
from pathlib import Path

import attrs

from bench.processes import ManagedProcess, free_address
from bench.relay import Relay
from bench.routes.plans import route_plan
from bench.routes.target import ANNOUNCE_INTERVAL_S, SLOTS, SoakTarget, TargetObservations
from cranberrylever.target_http import AnswerLostError, NotSentError, TargetAnswer, TargetPool

MEMBER_COUNT = 5
FOUNDER_COUNT = 3
TOLERATED_MEMBERS = 2
KEYED_SHARE = 2 / 3
FAILURE_DOMAINS = ("north", "south")
CALL_TIMEOUT_S = 1.0
ANNOUNCE_TIMEOUT_S = 0.3
START_TIMEOUT_S = 20.0

CLEAR_ANSWER_TIMEOUT_S = 30.0
"""Longer than faults of control members last."""


def port_of(address: str) -> str:
    """Return the port of an address."""
    return address.rpartition(":")[2]


@attrs.define(eq=False)
class Member:
    """One control member: its process, its data directory and the relay before its RPC address."""

    process: ManagedProcess
    data_dir: Path
    relay: Relay
    http: str
    arguments: tuple[str, ...]

    async def start(self, bootstrap: bool = False) -> None:
        """Start the process, with ``bootstrap`` as a founder of a new cluster."""
        extra = ("--bootstrap",) if bootstrap else ()
        self.process.arguments = (*self.arguments, *extra)
        await self.process.start()

    def remove_data_dir(self) -> None:
        """Remove the data directory; the process must have exited."""
        shutil.rmtree(self.data_dir, ignore_errors=True)


@attrs.frozen
class SoakOptions:
    """Size of a cluster and times of its entries' stops in seconds.

    Attributes:
        entries: Number of entries.
        targets: Number of targets; two thirds have keys.
        callers: Number of callers, each of which sends about one request a second.
        drain_delay: Time from SIGTERM to an entry to the close of its listener.
        finish_timeout: Time from then on for its requests to finish.
        slots: Requests that a target serves at a time.
    """

    entries: int = 2
    targets: int = 6
    callers: int = 60
    drain_delay: float = 0.3
    finish_timeout: float = 3.0
    slots: int = SLOTS


@attrs.define(eq=False)
class SoakCluster:
    """Processes, relays and fake targets of one soak test; ``root`` holds data directories and logs.

    With ``granted_in_answers`` targets get their keys in the answers to their announcements.
    """

    root: Path
    granted_in_answers: bool = False
    options: SoakOptions = attrs.field(factory=SoakOptions)
    members: list[Member] = attrs.field(factory=list)
    entries: list[tuple[ManagedProcess, str]] = attrs.field(factory=list)
    targets: list[SoakTarget] = attrs.field(factory=list)
    observations: TargetObservations = attrs.field(factory=TargetObservations)
    pool: TargetPool = attrs.field(factory=TargetPool)
    announcer: asyncio.Task[None] | None = None
    plan_number: int = 0

    async def start(self) -> None:
        """Start all processes and wait until control accepts the first plan."""
        await self._start_members()
        await self._start_entries()
        await self._start_targets()
        self.announcer = asyncio.get_running_loop().create_task(self._announce_targets())
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self.put_plan(self.plan(1), 0):
                await asyncio.sleep(0.1)
        self.plan_number = 1

    def plan(self, number: int, timeout: float = 2.0) -> dict:
        """Return a plan for this cluster."""
        return route_plan(number, timeout, self.granted_in_answers)

    async def close(self) -> None:
        """Kill all processes and stop all targets and relays."""
        if self.announcer is not None:
            self.announcer.cancel()
        for process, _ in self.entries:
            process.resume()
            await process.kill()
        for member in self.members:
            member.process.resume()
            await member.process.kill()
            await member.relay.close()
        for target in self.targets:
            await target.crash()
            await target.relay.close()
        self.pool.close()

    async def _start_members(self) -> None:
        # Members expect the HTTP API of the leader on the host of its RPC address, so each has its own host.
        http_port, rpc_port, listen_port = (port_of(free_address()) for _ in range(3))
        rpcs = [f"127.0.1.{number}:{rpc_port}" for number in range(1, MEMBER_COUNT + 1)]
        for number, rpc in enumerate(rpcs, 1):
            host = f"127.0.1.{number}"
            data_dir = self.root / f"member-{number}"
            relay = Relay(f"{host}:{listen_port}", rpc)
            await relay.start()
            arguments = ["route-control", "--cluster-id", "soak", "--rpc", rpc, "--log", "stdout"]
            arguments += ["--rpc-listen", relay.upstream, "--http", f"{host}:{http_port}"]
            arguments += ["--data-dir", str(data_dir), "--notice-interval", str(ANNOUNCE_INTERVAL_S)]
            arguments += ["--tolerated-instances", str(TOLERATED_MEMBERS)]
            for founder in rpcs[:FOUNDER_COUNT]:
                arguments += ["--contacts", founder, "--founders", founder]
            process = ManagedProcess(f"member-{number}", (), self.root / f"member-{number}.log")
            member = Member(process, data_dir, relay, f"{host}:{http_port}", tuple(arguments))
            self.members.append(member)
            await member.start(bootstrap=number <= FOUNDER_COUNT)

    async def _start_entries(self) -> None:
        for number in range(1, self.options.entries + 1):
            listen, ready = free_address(), free_address()
            arguments = ["route-entry", "--cluster-id", "soak", "--entry-id", f"entry-{number}"]
            arguments += ["--listen", listen, "--ready-listen", ready, "--log", "stdout"]
            arguments += ["--drain-delay", str(self.options.drain_delay)]
            arguments += ["--finish-timeout", str(self.options.finish_timeout)]
            arguments += ["--peer-listen", free_address()]
            for member in self.members:
                arguments += ["--contacts", member.relay.address]
            process = ManagedProcess(f"entry-{number}", tuple(arguments), self.root / f"entry-{number}.log")
            await process.start()
            self.entries.append((process, listen))

    async def _start_targets(self) -> None:
        for number in range(self.options.targets):
            service = "ledger" if number < self.options.targets * KEYED_SHARE else "desk"
            relay = Relay(free_address(), free_address())
            await relay.start()
            target = SoakTarget(
                f"t{number}",
                service,
                FAILURE_DOMAINS[number % 2],
                service == "ledger",
                relay,
                self.observations,
                self.targets,
            )
            target.slots = self.options.slots
            self.targets.append(target)
            await target.start()

    async def _announce_targets(self) -> None:
        announcement_count = 0
        while True:
            for target in self.targets:
                announcement_count += 1
                if target.server.is_serving() and target.resumed.is_set():
                    member = self.members[announcement_count % MEMBER_COUNT]
                    await self._announce(target, member)
            await asyncio.sleep(ANNOUNCE_INTERVAL_S / 2)

    async def _announce(self, target: SoakTarget, member: Member) -> None:
        sent_at = asyncio.get_running_loop().time()
        path = f"/v1/targets/{target.name}"
        announcement = target.announcement(self.granted_in_answers)
        answer = await self.call(member.http, "PUT", path, announcement, ANNOUNCE_TIMEOUT_S)
        if answer is not None and answer.status == 200 and self.granted_in_answers:
            target.apply_answer(json.loads(answer.body), sent_at)

    async def call(
        self, address: str, method: str, path: str, body: bytes = b"", timeout: float = CALL_TIMEOUT_S
    ) -> TargetAnswer | None:
        """Call control; returns ``None`` without an answer within ``timeout`` seconds."""
        head = f"{method} {path} HTTP/1.1\r\nhost: {address}\r\ncontent-length: {len(body)}\r\n\r\n"
        try:
            async with asyncio.timeout(timeout):
                return await self.pool.exchange(address, method.encode(), head.encode() + body)
        except (NotSentError, AnswerLostError, TimeoutError):
            return None

    async def put_plan(self, plan: dict, base: int) -> bool:
        """Send a plan to each member in turn until one acknowledges it; returns whether one did."""
        for member in self.members:
            if await self._put_plan_at(member, plan, base) == 200:
                return True
        return False

    async def put_next_plan(self, plan: dict, base: int) -> bool:
        """Send a plan until its outcome is clear; returns whether it is in force.

        A plan without a clear answer may be in force, so it is sent again, as an operator does.
        """
        end = asyncio.get_running_loop().time() + CLEAR_ANSWER_TIMEOUT_S
        while asyncio.get_running_loop().time() < end:
            for member in self.members:
                status = await self._put_plan_at(member, plan, base)
                if status is not None and status < 500:
                    return status == 200
            await asyncio.sleep(0.1)
        raise TimeoutError(f"plan {plan['number']} got no clear answer in {CLEAR_ANSWER_TIMEOUT_S} s")

    async def _put_plan_at(self, member: Member, plan: dict, base: int) -> int | None:
        path = f"/v1/plan?base={base}"
        answer = await self.call(member.http, "PUT", path, json.dumps(plan).encode())
        return answer.status if answer is not None else None

    async def change_domain(self, domain: str, action: str) -> bool:
        """Send ``withdraw`` or ``restore`` of a failure domain to each member until one acknowledges it."""
        for member in self.members:
            answer = await self.call(member.http, "POST", f"/v1/domains/{domain}/{action}")
            if answer is not None and answer.status == 200:
                return True
        return False


def create_soak_cluster(granted_in_answers: bool = False, options: SoakOptions | None = None) -> SoakCluster:
    """Return a cluster in a new temporary directory; it is not started yet."""
    root = Path(tempfile.mkdtemp(prefix="route-soak-"))
    return SoakCluster(root, granted_in_answers, options or SoakOptions())
