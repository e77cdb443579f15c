"""Connects the Raft rules to storage, transport and state machine on the event loop."""

import asyncio
import random

from cranberrylever.consensus._config import ConsensusConfig, MemberStatus
from cranberrylever.consensus._leadership import Leadership
from cranberrylever.consensus._machine import StateMachine
from cranberrylever.consensus._messages import MESSAGE_KINDS, EntryKind, Message
from cranberrylever.consensus._node import RaftNode
from cranberrylever.consensus._pending import PendingCalls, proposal_lost
from cranberrylever.consensus._snapshots import SnapshotWriter
from cranberrylever.consensus._status import member_status
from cranberrylever.consensus._storage import Storage, StorageBatch
from cranberrylever.consensus._transport import Transport
from cranberrylever.errors import (
    CodecError,
    CranberryleverError,
    InvariantError,
    NotLeaderError,
    ProposalLostError,
    StorageError,
)
from cranberrylever.logs import Log
from cranberrylever.wire import PeerFrame, decode, encode

MAX_APPLY_BATCH = 128

SYNC_LIMIT_S = 0.5
"""Time after which a leader whose disk has not synced lets another member lead."""


class RaftDriver:
    """One running member.

    Args:
        config: Identity and timings.
        storage: Durable state.
        transport: Connection to the other members.
        machine: State machine.
        rng: Source of election timeouts.
    """

    def __init__(
        self,
        config: ConsensusConfig,
        storage: Storage,
        transport: Transport,
        machine: StateMachine,
        rng: random.Random,
    ) -> None:
        self.config = config
        self.storage = storage
        self.transport = transport
        self.machine = machine
        self.rng = rng
        self.log = Log("consensus", config.member_id)
        self.node: RaftNode | None = None
        self.applied_index = 0
        self.leader_since: float | None = None
        self.error: CranberryleverError | None = None
        self.stopped = asyncio.Event()
        self._leadership: Leadership | None = None
        self._standing: tuple[str | None, int, bool] = (None, 0, False)
        self._pending = PendingCalls()
        self._is_saving = False
        self._saving_since: float | None = None
        self._is_pump_scheduled = False
        self._timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task] = set()
        self.snapshots = SnapshotWriter(storage, machine, config.snapshot_entries)

    # Status ------------------------------------------------------------------------------------

    @property
    def leader_id(self) -> str | None:
        """Member id of the leader, when known."""
        return self.node.leader_id if self.node else None

    @property
    def term(self) -> int:
        """Latest term that this member has seen."""
        return self.node.hard.term if self.node else 0

    @property
    def commit_index(self) -> int:
        """Highest index known to be committed."""
        return self.node.commit_index if self.node else 0

    @property
    def is_retired(self) -> bool:
        """Whether the group has told this member that its data folder may not take part any more."""
        return self.node is not None and self.node.refused is not None

    @property
    def folder_id(self) -> str:
        """Id of this member's data folder."""
        return self.node.folder_id if self.node else ""

    def has_lease(self, now: float) -> bool:
        """Return whether no other member can have become leader by ``now`` (loop time in seconds)."""
        return self.leader_since is not None and self.node.has_lease(now)

    def members(self) -> tuple[MemberStatus, ...]:
        """Return what this member knows of each member of the group; nothing before the start."""
        if self.node is None:
            return ()
        now = self._now()
        return tuple(member_status(self.node, member, now) for member in self.node.group())

    def group(self) -> tuple[str, ...]:
        """Return the ids of the members of the group; nothing before the start."""
        return tuple(self.node.group()) if self.node is not None else ()

    def transfer_leadership(self) -> None:
        """Stop leading and ask an up-to-date member to start an election at once."""
        if self.node is not None and self.node.leadership is not None:
            self.node.hand_over(self._now())
            self._schedule_pump()

    # Life cycle --------------------------------------------------------------------------------

    async def start(self) -> None:
        """Restore the state machine and take part in the group."""
        stored = self.storage.load()
        self.node = RaftNode(self.config, stored, self._now(), self.rng)
        if stored.snapshot is not None:
            self.machine.restore(stored.snapshot.index, stored.snapshot.data)
            self.applied_index = stored.snapshot.index
        self.transport.set_receiver(self._on_frame)
        self._pump()

    async def close(self) -> None:
        """Stop taking part; waiting proposals end with ``ProposalLostError``."""
        self._stop(ProposalLostError("this member was closed", "repeat the proposal at the leader"))
        if self._tasks:
            await asyncio.wait(self._tasks)
        await self.storage.close()

    async def wait_stopped(self) -> CranberryleverError | None:
        """Wait until the member stops and return the error that stopped it, if any."""
        await self.stopped.wait()
        return self.error

    def _fail(self, error: BaseException) -> None:
        """Stop the member after an error that it can not continue from."""
        if self.stopped.is_set():
            return
        if not isinstance(error, CranberryleverError):
            error = InvariantError(f"unexpected {error!r}", "report the log lines before this one")
        self.error = error
        self.log.write("error", "member_stopped", error=str(error))
        self._stop(ProposalLostError(f"this member stopped: {error.message}", error.remedy))

    def _stop(self, error: ProposalLostError) -> None:
        if self.stopped.is_set():
            return
        self.stopped.set()
        self.transport.set_receiver(lambda frame: None)
        if self._timer is not None:
            self._timer.cancel()
        self.leader_since = None
        if self.node is not None:
            self.node.step_down(self._now())
        self._pending.fail_all(error)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    # Client calls ------------------------------------------------------------------------------

    async def propose(self, payload: bytes) -> object:
        """Replicate ``payload`` and return the result of applying it.

        Raises:
            NotLeaderError: This member does not lead; nothing was proposed.
            ProposalLostError: Leadership changed; the payload may or may not be committed.
        """
        self._require_running()
        index = self.node.propose(payload)
        future = self._pending.add_proposal(index, self.term)
        self._schedule_pump()
        return await future

    async def barrier(self) -> None:
        """Wait until everything committed before this call is applied here.

        A majority confirms by a heartbeat round sent after this call that no other leader exists.

        Raises:
            NotLeaderError: This member does not lead.
        """
        self._require_running()
        future = self._pending.add_read(self.node.request_read())
        self._schedule_pump()
        await future

    def _require_running(self) -> None:
        if self.node is None or self.stopped.is_set():
            raise NotLeaderError()

    # Input -------------------------------------------------------------------------------------

    def _on_frame(self, frame: PeerFrame) -> None:
        if frame.cluster_id != self.config.cluster_id or frame.receiver != self.config.member_id:
            return
        kind = MESSAGE_KINDS.get(frame.kind)
        if kind is None:
            return
        try:
            message = decode(frame.body, kind)
        except CodecError as error:
            self.log.warning("frame_refused", sender=frame.sender, error=str(error))
            return
        try:
            self.node.step(frame.sender, frame.folder_id, message, self._now())
        except Exception as error:
            self._fail(error)
            return
        self._schedule_pump()

    def _schedule_pump(self) -> None:
        """Run ``_pump`` once after the events of this loop pass, so that they share a sync."""
        if not self._is_pump_scheduled:
            self._is_pump_scheduled = True
            asyncio.get_running_loop().call_soon(self._pump)

    def _on_timer(self, deadline: float) -> None:
        """Run the rules at ``deadline``; the loop may call a little early, within its clock resolution."""
        self._timer = None
        self._pump(max(deadline, self._now()))

    # Output ------------------------------------------------------------------------------------

    def _pump(self, now: float | None = None) -> None:
        """Send, save and apply whatever the rules have ready."""
        self._is_pump_scheduled = False
        if self.stopped.is_set():
            return
        try:
            self._pump_once(self._now() if now is None else now)
        except Exception as error:
            self._fail(error)

    def _pump_once(self, now: float) -> None:
        node = self.node
        if now >= node.deadline():
            node.tick(now)
        self._yield_on_slow_disk(now)
        if node.refused is not None:
            raise StorageError(node.refused, "empty the data folder and start without --bootstrap")
        for receiver, message in node.take_messages(now):
            self._send(receiver, message)
        self._save_next()
        self._apply()
        self._finish_reads()
        self._observe_leadership(now)
        self._set_timer(now)

    def _yield_on_slow_disk(self, now: float) -> None:
        """Give leadership up while the disk does not answer; nothing that is committed would be applied."""
        is_stuck = self._saving_since is not None and now - self._saving_since > SYNC_LIMIT_S
        if is_stuck and self.node.leadership is not None and self.node.leadership.successor() is not None:
            self.log.warning("leadership_given_up", sync_seconds=now - self._saving_since)
            self.node.hand_over(now)

    def _send(self, receiver: str, message: Message) -> None:
        kind = type(message).__name__
        frame = PeerFrame(
            self.config.cluster_id,
            self.config.member_id,
            receiver,
            self.node.folder_id,
            kind,
            encode(message),
        )
        self.transport.send(receiver, frame)

    def _save_next(self) -> None:
        if self._is_saving:
            return
        batch = self.node.take_batch()
        if batch is None:
            return
        if batch.needs_sync:
            self._is_saving = True
            self._start_task(self._save(batch))
            return
        for receiver, message in batch.messages:
            self._send(receiver, message)

    async def _save(self, batch: StorageBatch) -> None:
        self._saving_since = self._now()
        await self.storage.save(batch)
        self._saving_since = None
        if self.stopped.is_set():
            return
        if batch.snapshot is not None:
            self.machine.restore(batch.snapshot.index, batch.snapshot.data)
            self.applied_index = batch.snapshot.index
        self._is_saving = False
        for receiver, message in batch.messages:
            self._send(receiver, message)
        self.node.batch_synced(batch, self._now())
        self._pump()

    def _start_task(self, coroutine) -> None:
        task = asyncio.get_running_loop().create_task(self._guard(coroutine))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _guard(self, coroutine) -> None:
        try:
            await coroutine
        except Exception as error:
            self._fail(error)

    def _apply(self) -> None:
        node = self.node
        if node.installed is not None:
            return
        limit = min(node.commit_index, node.persisted_index, self.applied_index + MAX_APPLY_BATCH)
        while self.applied_index < limit:
            self._apply_entry(self.applied_index + 1)
        if self.applied_index < min(node.commit_index, node.persisted_index):
            self._schedule_pump()
        self._start_snapshot()

    def _apply_entry(self, index: int) -> None:
        entry = self.node.log.get(index)
        result = None
        if entry.kind == EntryKind.COMMAND:
            result = self.machine.apply(index, entry.payload)
        self.applied_index = index
        self._pending.finish_proposal(index, entry.term, result)

    def _start_snapshot(self) -> None:
        """Take a snapshot when enough entries were applied since the last one."""
        snapshot = self.snapshots.next(self.node, self.applied_index)
        if snapshot is not None:
            self._start_task(self.snapshots.save(self.node, snapshot))

    def _finish_reads(self) -> None:
        node = self.node
        for read_id, index in node.confirmed_reads:
            self._pending.confirm_read(read_id, index)
        node.confirmed_reads.clear()
        for read_id in node.failed_reads:
            self._pending.fail_read(read_id, NotLeaderError(node.leader_id))
        node.failed_reads.clear()
        self._pending.release_reads(self.applied_index)

    def _observe_leadership(self, now: float) -> None:
        """Follow changes of leadership; the node may lose it and win it again between two calls."""
        leadership = self.node.leadership
        if leadership is not self._leadership:
            self._leadership = leadership
            self.leader_since = None
            self._pending.fail_proposals(proposal_lost(), before_term=self.term if leadership else None)
        self._log_changes()
        if leadership and self.leader_since is None and self.applied_index >= leadership.first_index:
            self.leader_since = now

    def _log_changes(self) -> None:
        """Log a new leader, a new term or a change of this member's vote."""
        standing = (self.leader_id, self.term, self.node.may_vote())
        if standing == self._standing:
            return
        self._standing = standing
        leader, term, votes = standing
        self.log.info("standing_changed", leader=leader, term=term, votes=votes)

    def _set_timer(self, now: float) -> None:
        """Wake at the next deadline; a timer that is early is left, so heartbeats do not replace it."""
        deadline = self.node.deadline()
        if self._timer is not None:
            if self._timer.when() <= deadline:
                return
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_at(max(deadline, now), self._on_timer, deadline)


def create_driver(
    config: ConsensusConfig,
    storage: Storage,
    transport: Transport,
    machine: StateMachine,
    rng: random.Random | None = None,
) -> RaftDriver:
    """Return a member that is not started yet.

    Args:
        config: Identity and timings.
        storage: Durable state.
        transport: Connection to the other members.
        machine: State machine.
        rng: Source of election timeouts, seeded by the system when absent.
    """
    return RaftDriver(config, storage, transport, machine, rng or random.Random())
