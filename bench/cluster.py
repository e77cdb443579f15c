"""Cluster of control members, entries and stand-in targets as processes on loopback."""

import asyncio
import contextlib
import json
import tempfile
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import aiohttp
import attrs

from bench.processes import ManagedProcess, free_address, wait_for_http
from bench.relay import Relay
from cranberrylever.settings import (
    ControlSettings,
    EntrySettings,
    LogSettings,
    PeerAddress,
    TargetSettings,
    setting_fields,
)

CLUSTER_ID = "bench"
POLL_INTERVAL_SECONDS = 0.02
READY_TIMEOUT_SECONDS = 30.0
TICKET_TIMEOUT_SECONDS = 1.0


def command_arguments(command: str, settings: object) -> tuple[str, ...]:
    """Return the command-line arguments that set these settings."""
    parts = [command]
    for field in setting_fields(type(settings)):
        value = settings
        for name in field.path:
            value = getattr(value, name)
        if field.is_boolean:
            parts.append(field.flag if value else f"--no-{field.flag.removeprefix('--')}")
        elif field.is_list:
            for item in value:
                parts += [field.flag, list_item(item)]
        elif value != "":
            parts += [field.flag, str(value)]
    return tuple(parts)


def list_item(item: object) -> str:
    """Return one item of a list setting as it is written on the command line."""
    if isinstance(item, PeerAddress):
        return f"{item.member_id}={item.rpc}/{item.http}"
    return str(item)


@attrs.frozen
class AcceptedTicket:
    """A ticket that control accepted; times are loop seconds."""

    number: int
    answer: dict[str, Any]
    submitted: float
    accepted: float


@attrs.define
class Cluster:
    """Control members, entries and stand-in targets as processes.

    Attributes:
        folder: Contains data directories, logs and record files.
        members: Number of control members.
        relayed: Whether traffic between control members, from entries to control and to targets goes through
            relays, with which tests create partitions.
    """

    folder: Path
    members: int = 3
    relayed: bool = False
    peers: list[PeerAddress] = attrs.field(factory=list)
    control: dict[str, ManagedProcess] = attrs.field(factory=dict)
    entries: dict[str, ManagedProcess] = attrs.field(factory=dict)
    entry_addresses: dict[str, str] = attrs.field(factory=dict)
    targets: dict[str, ManagedProcess] = attrs.field(factory=dict)
    target_settings: dict[str, TargetSettings] = attrs.field(factory=dict)
    relays: dict[tuple[str, str], Relay] = attrs.field(factory=dict)
    session: aiohttp.ClientSession | None = None
    last_ticket: int = 0

    async def open(self) -> None:
        """Choose the addresses of the control members and open the client session."""
        self.session = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=5))
        self.peers = [
            PeerAddress(f"c{number}", free_address(), free_address()) for number in range(1, self.members + 1)
        ]

    async def close(self) -> None:
        """Kill all processes and close all relays of this cluster."""
        processes = [*self.entries.values(), *self.targets.values(), *self.control.values()]
        await asyncio.gather(*(process.kill() for process in processes))
        await asyncio.gather(*(relay.close() for relay in self.relays.values()))
        if self.session is not None:
            await self.session.close()

    async def start_control(self) -> None:
        """Start all control members as a new cluster and wait until they have a leader."""
        for peer in self.peers:
            await self.start_member(peer.member_id, bootstrap=True)
        await self.wait_for_leader()

    async def start_member(self, member_id: str, bootstrap: bool = False) -> None:
        """Start one control member on its data directory and wait until it is healthy."""
        settings = ControlSettings(
            cluster_id=CLUSTER_ID,
            member_id=member_id,
            peers=tuple([await self.peer_as_reached_by(member_id, peer) for peer in self.peers]),
            data_dir=str(self.data_dir(member_id)),
            bootstrap=bootstrap,
            log=self.log(member_id),
        )
        process = ManagedProcess(
            member_id, command_arguments("control", settings), self.folder / f"{member_id}.out"
        )
        self.control[member_id] = process
        await process.start()
        await wait_for_http(process, self.session, f"http://{settings.own_address.http}/healthz")

    async def start_entry(self, entry_id: str, failure_domain: str = "a", drain_delay: float = 0.5) -> None:
        """Start one entry and wait until it is ready."""
        address = self.entry_addresses.setdefault(entry_id, free_address())
        control = [await self.relay(entry_id, peer.member_id, peer.rpc) for peer in self.peers]
        settings = EntrySettings(
            cluster_id=CLUSTER_ID,
            entry_id=entry_id,
            listen=address,
            control=tuple(control),
            failure_domain=failure_domain,
            drain_delay=drain_delay,
            log=self.log(entry_id),
        )
        process = ManagedProcess(
            entry_id, command_arguments("entry", settings), self.folder / f"{entry_id}.out"
        )
        self.entries[entry_id] = process
        await process.start()
        await wait_for_http(process, self.session, f"http://{address}/readyz")

    async def start_target(self, target_id: str, service: str, failure_domain: str, **changes: Any) -> None:
        """Start one stand-in target and wait until it listens; it announces itself."""
        address = free_address()
        advertise = await self.relay("all", target_id, address) if self.relayed else ""
        settings = TargetSettings(
            target_id=target_id,
            service=service,
            listen=address,
            advertise=advertise,
            control=tuple(peer.http for peer in self.peers),
            failure_domain=failure_domain,
            record=str(self.record_path(target_id)),
            log=self.log(target_id),
            **changes,
        )
        self.target_settings[target_id] = settings
        await self.restart_target(target_id)

    async def restart_target(self, target_id: str) -> None:
        """Start a new process of a target on the same address."""
        settings = self.target_settings[target_id]
        process = ManagedProcess(
            target_id, command_arguments("target", settings), self.folder / f"{target_id}.out"
        )
        self.targets[target_id] = process
        await process.start()
        await wait_for_http(process, self.session, f"http://{settings.listen}/-/health")

    async def peer_as_reached_by(self, member_id: str, peer: PeerAddress) -> PeerAddress:
        """Return a member's addresses as another member reaches them."""
        if member_id == peer.member_id:
            return peer
        return attrs.evolve(peer, rpc=await self.relay(member_id, peer.member_id, peer.rpc))

    async def relay(self, origin: str, destination: str, upstream: str) -> str:
        """Return the address under which ``origin`` reaches ``destination``."""
        if not self.relayed:
            return upstream
        relay = self.relays.get((origin, destination))
        if relay is None or relay.upstream != upstream:
            relay = Relay(upstream, free_address())
            await relay.start()
            self.relays[origin, destination] = relay
        return relay.address

    def links(self, name: str) -> Iterator[Relay]:
        """Yield the relays from and to one process."""
        for (origin, destination), relay in self.relays.items():
            if name in (origin, destination):
                yield relay

    def data_dir(self, member_id: str) -> Path:
        """Return the data directory of a control member."""
        return self.folder / f"{member_id}.data"

    def record_path(self, target_id: str) -> Path:
        """Return the record file of a target."""
        return self.folder / f"{target_id}.runs"

    def log(self, name: str) -> LogSettings:
        """Return the log settings of a process."""
        return LogSettings(destination=str(self.folder / f"{name}.log"))

    def started_entry_addresses(self) -> list[str]:
        """Return the addresses of all entries that have been started."""
        return [self.entry_addresses[entry_id] for entry_id in self.entries]

    async def get_json(self, address: str, path: str, timeout: float = 5.0) -> Any:
        """Return the JSON answer to a GET request."""
        limit = aiohttp.ClientTimeout(total=timeout)
        async with self.session.get(f"http://{address}{path}", timeout=limit) as answer:
            return await answer.json(content_type=None)

    async def post_json(self, address: str, path: str, content: object) -> Any:
        """Post JSON and return the JSON answer."""
        async with self.session.post(f"http://{address}{path}", json=content) as answer:
            return await answer.json(content_type=None)

    async def status(self, member_id: str | None = None) -> dict[str, Any]:
        """Return the leader's status, requested from one member or from the first that answers.

        The status is empty when no leader is known.
        """
        for peer in self.peers:
            if member_id not in (None, peer.member_id) or not self.control[peer.member_id].running():
                continue
            with contextlib.suppress(aiohttp.ClientError, TimeoutError, ValueError):
                content = await self.get_json(peer.http, "/v1/status", timeout=1)
                if content.get("leader"):
                    return content
        return {}

    async def leader(self) -> str:
        """Return the member id of the leader, empty when none is known."""
        return (await self.status()).get("leader", "")

    async def wait_for_leader(self) -> str:
        """Wait for a leader and return its member id."""
        async with asyncio.timeout(READY_TIMEOUT_SECONDS):
            while not (leader := await self.leader()):
                await asyncio.sleep(POLL_INTERVAL_SECONDS)
            return leader

    async def submit(self, body: str, limit: float = READY_TIMEOUT_SECONDS) -> AcceptedTicket:
        """Submit a ticket with the next number and resubmit it after lost answers until it is accepted.

        Raises:
            RuntimeError: Control refused the ticket.
            TimeoutError: No member accepted it within ``limit`` seconds.
        """
        self.last_ticket += 1
        text = f"number = {self.last_ticket}\n{body}"
        now = asyncio.get_running_loop().time
        submitted = now()
        timeout = aiohttp.ClientTimeout(total=TICKET_TIMEOUT_SECONDS)
        async with asyncio.timeout(limit):
            while True:
                for peer in self.peers:
                    with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                        url = f"http://{peer.http}/v1/tickets"
                        async with self.session.post(url, data=text, timeout=timeout) as answer:
                            content = await answer.text()
                            if answer.status < 300:
                                return AcceptedTicket(self.last_ticket, json.loads(content), submitted, now())
                            if answer.status != 503:
                                raise RuntimeError(f"ticket {self.last_ticket} refused: {content}")
                await asyncio.sleep(POLL_INTERVAL_SECONDS)


@contextlib.asynccontextmanager
async def open_cluster(members: int = 3, relayed: bool = False):
    """Yield a cluster in a temporary directory; its processes are killed when the context exits."""
    with tempfile.TemporaryDirectory(prefix="cranberrylever-bench-") as folder:
        cluster = Cluster(Path(folder), members, relayed)
        await cluster.open()
        try:
            yield cluster
        finally:
            await cluster.close()


def service_text(name: str, kind: str, **fields: Any) -> str:
    """Return the part of a ticket for one service."""
    lines = ["[[service]]", f'name = "{name}"', f'kind = "{kind}"']
    lines += [f"{key} = {json.dumps(value)}" for key, value in fields.items()]
    return "\n".join(lines) + "\n"


def failure_domain_text(name: str, state: str = "active") -> str:
    """Return the part of a ticket for one failure domain."""
    return f'[[failure_domain]]\nname = "{name}"\nstate = "{state}"\n'


def target_text(target_id: str, drain: bool) -> str:
    """Return the part of a ticket for one target."""
    return f'[[target]]\nid = "{target_id}"\ndrain = {json.dumps(drain)}\n'
