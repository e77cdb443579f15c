"""Random faults in a cluster of processes: kills, freezes, partitions, lost data, withdrawals."""

import asyncio
import random
import shutil

import attrs

from bench.checker import read_runs
from bench.cluster import Cluster, failure_domain_text, service_text
from bench.scenario import Layout
from cranberrylever.target import Run

# Each pair is the range from which a random time is drawn.
FAULT_INTERVAL_SECONDS = (0.5, 2.5)
FREEZE_SECONDS = (0.5, 3.0)
PARTITION_SECONDS = (0.5, 4.0)
REJOIN_TIMEOUT_SECONDS = 15.0
# Maximum age of a member's last message to the leader for the member to count as reachable.
RECENT_CONTACT_SECONDS = 0.5


@attrs.define
class FaultInjector:
    """Injects one fault after another; at most one control member is affected at a time.

    Attributes:
        killed_ms: Time of the kill in milliseconds of the common clock, by incarnation of the killed target.
        history: Faults in order, for the report of problems.
        accepted: Numbers of accepted tickets.
    """

    cluster: Cluster
    layout: Layout
    random: random.Random
    killed_ms: dict[str, float] = attrs.field(factory=dict)
    history: list[str] = attrs.field(factory=list)
    accepted: list[int] = attrs.field(factory=list)
    stopped: bool = False
    withdrawn: str = ""

    @property
    def count(self) -> int:
        """Number of faults so far."""
        return len(self.history)

    async def run(self) -> None:
        """Inject faults until stopped; every fault is repaired before the next."""
        faults = (
            self.kill_target,
            self.kill_target,
            self.freeze_target,
            self.cut_target,
            self.kill_member,
            self.freeze_member,
            self.cut_member,
            self.lose_data_dir,
            self.cut_entry,
            self.toggle_domain,
            self.submit_ticket,
            self.stop_target,
            self.make_target_cold,
        )
        while not self.stopped:
            await asyncio.sleep(self.random.uniform(*FAULT_INTERVAL_SECONDS))
            if not self.stopped:
                await self.random.choice(faults)()
        if self.withdrawn:
            await self.toggle_domain()

    def record(self, text: str) -> None:
        """Add a fault to the history."""
        self.history.append(f"{asyncio.get_running_loop().time():.3f} {text}")

    async def kill_target(self, target_id: str = "") -> None:
        """Kill a target and start it again."""
        target_id = target_id or self.random.choice(sorted(self.cluster.targets))
        self.record(f"kill {target_id}")
        await self.kill_and_record_target(target_id)
        await asyncio.sleep(self.random.uniform(0, 2.5))
        await self.cluster.restart_target(target_id)

    async def kill_and_record_target(self, target_id: str) -> None:
        """Kill a target and record the time as the end of its unfinished runs."""
        listen = self.cluster.target_settings[target_id].listen
        health = await self.cluster.get_json(listen, "/-/health")
        await self.cluster.targets[target_id].kill()
        self.killed_ms[health["incarnation"]] = asyncio.get_running_loop().time() * 1000

    async def stop_target(self, target_id: str = "") -> int:
        """Stop a target with SIGTERM and start it again; returns the exit status."""
        target_id = target_id or self.random.choice(sorted(self.cluster.targets))
        self.record(f"stop {target_id}")
        status = await self.cluster.targets[target_id].terminate()
        await self.cluster.restart_target(target_id)
        return status

    async def make_target_cold(self) -> None:
        """Make a target cold without an announcement."""
        target_id = self.random.choice(sorted(self.cluster.targets))
        self.record(f"turn {target_id} cold")
        listen = self.cluster.target_settings[target_id].listen
        await self.cluster.post_json(listen, "/-/fault", {"cold": True})

    async def freeze_target(self, target_id: str = "", seconds: float = 0) -> None:
        """Suspend a target's process and resume it."""
        target_id = target_id or self.random.choice(sorted(self.cluster.targets))
        await self.freeze(self.cluster.targets[target_id], seconds)

    async def freeze_member(self, member_id: str = "", seconds: float = 0) -> None:
        """Suspend a control member's process, by default the leader's, and resume it."""
        member_id = member_id or await self.cluster.leader() or "c1"
        await self.freeze(self.cluster.control[member_id], seconds)

    async def freeze(self, process: object, seconds: float) -> None:
        """Suspend a process for ``seconds``, or for a random time."""
        seconds = seconds or self.random.uniform(*FREEZE_SECONDS)
        self.record(f"freeze {process.name} for {seconds:.2f} s")
        process.pause()
        try:
            await asyncio.sleep(seconds)
        finally:
            process.resume()

    async def cut_target(self) -> None:
        """Partition a target from everything."""
        await self.cut(self.random.choice(sorted(self.cluster.targets)))

    async def cut_member(self) -> None:
        """Partition a control member from entries and other members."""
        await self.cut(self.random.choice(sorted(self.cluster.control)))

    async def cut_entry(self) -> None:
        """Partition an entry from control."""
        await self.cut(self.random.choice(sorted(self.cluster.entries)))

    async def cut(self, name: str) -> None:
        """Hold all bytes from and to a process for a random time."""
        seconds = self.random.uniform(*PARTITION_SECONDS)
        self.record(f"cut {name} for {seconds:.2f} s")
        for relay in self.cluster.links(name):
            relay.cut()
        try:
            await asyncio.sleep(seconds)
        finally:
            for relay in self.cluster.links(name):
                relay.heal()

    async def kill_member(self, member_id: str = "") -> None:
        """Kill a control member, by default the leader, and start it again."""
        member_id = member_id or await self.cluster.leader() or "c1"
        self.record(f"kill {member_id}")
        await self.cluster.control[member_id].kill()
        await asyncio.sleep(self.random.uniform(0, 2))
        await self.cluster.start_member(member_id)
        await self.wait_until_repaired(member_id)

    async def lose_data_dir(self, member_id: str = "") -> None:
        """Kill a control member, remove its data directory and wait until it has rejoined."""
        member_id = member_id or self.random.choice(sorted(self.cluster.control))
        self.record(f"remove the data directory of {member_id}")
        await self.cluster.control[member_id].kill()
        shutil.rmtree(self.cluster.data_dir(member_id))
        await self.cluster.start_member(member_id)
        await self.wait_until_repaired(member_id)

    async def wait_until_repaired(self, member_id: str) -> None:
        """Wait until a restarted member is a voter that has caught up; only then may another be lost.

        Raises:
            RuntimeError: The member has not rejoined in time; the message has the status and its last output.
        """
        # The status shows the new process only after the leader has received a message from it.
        await asyncio.sleep(RECENT_CONTACT_SECONDS)
        try:
            async with asyncio.timeout(REJOIN_TIMEOUT_SECONDS):
                while not await self.is_voter(member_id):
                    await asyncio.sleep(0.05)
        except TimeoutError:
            status = await self.cluster.status()
            output = self.cluster.control[member_id].tail()
            message = f"{member_id} has not rejoined after {REJOIN_TIMEOUT_SECONDS:g} s: {status}\n{output}"
            raise RuntimeError(message) from None

    async def is_voter(self, member_id: str) -> bool:
        """Return whether the leader reports a member as a reachable voter that has caught up."""
        status = await self.cluster.status()
        for member in status.get("members", ()):
            if member["member_id"] == member_id:
                is_recent = member["role"] == "leader" or 0 <= member["heard_s"] < RECENT_CONTACT_SECONDS
                caught_up = member["match_index"] >= status["commit_index"]
                return member["role"] in ("leader", "voter") and is_recent and caught_up
        return False

    async def toggle_domain(self) -> None:
        """Withdraw a random failure domain, or restore the withdrawn one."""
        if self.withdrawn:
            name, self.withdrawn = self.withdrawn, ""
            await self.submit_and_record(failure_domain_text(name, "active"))
            return
        self.withdrawn = self.random.choice(self.layout.failure_domains)
        await self.submit_and_record(failure_domain_text(self.withdrawn, "withdrawn"))

    async def submit_ticket(self) -> None:
        """Change the deadline of a service that receives no requests."""
        await self.submit_and_record(service_text("spare", "pooled", deadline_ms=1000 + self.count))

    async def submit_and_record(self, text: str) -> None:
        """Submit a ticket and record its number after it was accepted."""
        ticket = await self.cluster.submit(text)
        self.accepted.append(ticket.number)
        self.record(f"ticket {ticket.number}")

    def read_runs(self) -> list[Run]:
        """Return all runs that the targets have recorded."""
        paths = [self.cluster.record_path(name) for name in self.cluster.target_settings]
        return read_runs([path for path in paths if path.exists()], self.killed_ms)
