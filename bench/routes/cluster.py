"""Control members, entries and stand-in targets of a soak, with relays between all of them."""

import asyncio
import json
import shutil
import tempfile
from pathlib import Path

import attrs

from bench.processes import ManagedProcess, free_address
from bench.relay import Relay
from bench.routes.target import BEAT_INTERVAL_S, Ledger, SoakTarget
from cranberrylever.target_http import AnswerLostError, NotSentError, TargetAnswer, TargetPool

MEMBERS = 3
ENTRIES = 2
DOMAINS = ("north", "south")
HOST = "soak.example"
CALL_TIMEOUT_S = 1.0
BOOTSTRAP_LIMIT_S = 20.0


def port_of(address: str) -> str:
    """Return the port of an address."""
    return address.rpartition(":")[2]


def route_plan(number: int, timeout: float = 2.0) -> dict:
    """Return a plan with a keyed and a pooled service; ``timeout`` tells one plan from another."""
    shared = {"host": HOST, "timeout": timeout, "objective": 0.5, "attempts": 2}
    cold = {"max_connections": 60, "cold_time": 1.0, "cold_rate": 20.0, "takeover_time": 1.0}
    return {
        "number": number,
        "routes": [
            {
                "name": "read",
                "prefix": "/read/",
                "shares": [{"service": "ledger", "weight": 1.0}],
                "idempotent": True,
                "priority": 1,
                **shared,
            },
            {
                "name": "book",
                "prefix": "/book/",
                "shares": [{"service": "ledger", "weight": 1.0}],
                "idempotent": False,
                "priority": 0,
                **shared,
            },
            {
                "name": "order",
                "prefix": "/order/",
                "shares": [{"service": "desk", "weight": 1.0}],
                "idempotent": False,
                "priority": 0,
                **shared,
            },
        ],
        "services": [
            {"name": "ledger", "keyed": True, "health_path": "/healthz", **cold},
            {"name": "desk", "keyed": False, "health_path": "/healthz", **cold},
        ],
    }


@attrs.define(eq=False)
class Member:
    """One control member: its process, its folder and the relay in front of its rpc address."""

    process: ManagedProcess
    folder: Path
    relay: Relay
    http: str
    arguments: tuple[str, ...]

    async def start(self, bootstrap: bool = False) -> None:
        """Start the process."""
        extra = ("--bootstrap",) if bootstrap else ()
        self.process.arguments = (*self.arguments, *extra)
        await self.process.start()

    def lose_folder(self) -> None:
        """Remove all files; the process must have ended."""
        shutil.rmtree(self.folder, ignore_errors=True)


@attrs.define(eq=False)
class SoakCluster:
    """Everything that one soak runs."""

    root: Path
    members: list[Member] = attrs.field(factory=list)
    entries: list[tuple[ManagedProcess, str]] = attrs.field(factory=list)
    targets: list[SoakTarget] = attrs.field(factory=list)
    ledger: Ledger = attrs.field(factory=Ledger)
    pool: TargetPool = attrs.field(factory=TargetPool)
    beats: asyncio.Task[None] | None = None
    plan: int = 0

    async def start(self) -> None:
        """Start all processes and wait until requests are served."""
        await self._start_members()
        await self._start_entries()
        await self._start_targets()
        self.beats = asyncio.get_running_loop().create_task(self._beat())
        async with asyncio.timeout(BOOTSTRAP_LIMIT_S):
            while not await self.put_plan(route_plan(1), 0):
                await asyncio.sleep(0.1)
        self.plan = 1

    async def close(self) -> None:
        """End everything that was started."""
        if self.beats is not None:
            self.beats.cancel()
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
        # Members find the HTTP interface of the leader on its own host, so each has a loopback host.
        http_port, rpc_port, own_port = (port_of(free_address()) for _ in range(3))
        rpcs = [f"127.0.1.{number}:{rpc_port}" for number in range(1, MEMBERS + 1)]
        for number, rpc in enumerate(rpcs, 1):
            host = f"127.0.1.{number}"
            folder = self.root / f"member-{number}"
            relay = Relay(f"{host}:{own_port}", rpc)
            await relay.start()
            arguments = ["route-control", "--cluster-id", "soak", "--rpc", rpc, "--log", "stdout"]
            arguments += ["--rpc-listen", relay.upstream, "--http", f"{host}:{http_port}"]
            arguments += ["--data-dir", str(folder), "--notice-interval", str(BEAT_INTERVAL_S)]
            for contact in rpcs:
                arguments += ["--contacts", contact, "--founders", contact]
            process = ManagedProcess(f"member-{number}", (), self.root / f"member-{number}.log")
            member = Member(process, folder, relay, f"{host}:{http_port}", tuple(arguments))
            self.members.append(member)
            await member.start(bootstrap=True)

    async def _start_entries(self) -> None:
        for number in range(1, ENTRIES + 1):
            listen, ready = free_address(), free_address()
            arguments = ["route-entry", "--cluster-id", "soak", "--entry-id", f"entry-{number}"]
            arguments += ["--listen", listen, "--ready-listen", ready, "--log", "stdout"]
            arguments += ["--drain-delay", "0.3", "--finish-timeout", "3"]
            for member in self.members:
                arguments += ["--contacts", member.relay.address]
            process = ManagedProcess(f"entry-{number}", tuple(arguments), self.root / f"entry-{number}.log")
            await process.start()
            self.entries.append((process, listen))

    async def _start_targets(self) -> None:
        for number in range(6):
            service = "ledger" if number < 4 else "desk"
            relay = Relay(free_address(), free_address())
            await relay.start()
            target = SoakTarget(
                f"t{number}",
                service,
                DOMAINS[number % 2],
                service == "ledger",
                relay,
                self.ledger,
                self.targets,
            )
            self.targets.append(target)
            await target.start()

    async def _beat(self) -> None:
        turn = 0
        while True:
            for target in self.targets:
                turn += 1
                if target.server.is_serving() and target.thawed.is_set():
                    member = self.members[turn % MEMBERS]
                    await self.call(member.http, "PUT", f"/v1/targets/{target.name}", target.notice(), 0.3)
            await asyncio.sleep(BEAT_INTERVAL_S / 2)

    # Calls to control ----------------------------------------------------------------------------

    async def call(
        self, address: str, method: str, path: str, body: bytes = b"", timeout: float = CALL_TIMEOUT_S
    ) -> TargetAnswer | None:
        """Call control; ``None`` without an answer."""
        head = f"{method} {path} HTTP/1.1\r\nhost: {address}\r\ncontent-length: {len(body)}\r\n\r\n"
        try:
            async with asyncio.timeout(timeout):
                return await self.pool.exchange(address, method.encode(), head.encode() + body)
        except (NotSentError, AnswerLostError, TimeoutError):
            return None

    async def put_plan(self, plan: dict, base: int) -> bool:
        """Send a plan to each member in turn until one acknowledges it."""
        for member in self.members:
            path = f"/v1/plan?base={base}"
            answer = await self.call(member.http, "PUT", path, json.dumps(plan).encode())
            if answer is not None and answer.status == 200:
                return True
        return False

    async def order_domain(self, domain: str, order: str) -> bool:
        """Withdraw or restore a failure domain at whichever member acknowledges it."""
        for member in self.members:
            answer = await self.call(member.http, "POST", f"/v1/domains/{domain}/{order}")
            if answer is not None and answer.status == 200:
                return True
        return False


def create_soak_cluster() -> SoakCluster:
    """Return a cluster in a temporary folder that is not started yet."""
    return SoakCluster(Path(tempfile.mkdtemp(prefix="route-soak-")))
