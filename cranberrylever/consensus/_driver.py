"""Driver that connects a Raft node to its storage, transport and state machine on the event loop."""

import asyncio
import random

from cranberrylever.consensus._applier import EntryApplier
from cranberrylever.consensus._config import ConsensusConfig, MemberStatus
from cranberrylever.consensus._frames import build_frame, read_frame
from cranberrylever.consensus._leadership import Leadership
from cranberrylever.consensus._messages import LogEntry, Message
from cranberrylever.consensus._node import RaftNode
from cranberrylever.consensus._pending import PendingCalls, proposal_lost_error
from cranberrylever.consensus._snapshots import SnapshotWriter
from cranberrylever.consensus._state_machine import StateMachine
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
from cranberrylever.wire import PeerFrame

SYNC_TIMEOUT_S = 0.5
"""Duration in seconds of an unfinished sync after which a leader transfers leadership."""


class RaftDriver:
    """A running member of a Raft group.

    Args:
        config: Identity and timings.
        storage: Durable state.
        transport: Connection to the other members.
        state_machine: State machine.
        rng: Random source of election timeouts.
    """

    def __init__(
        self,
        config: ConsensusConfig,
        storage: Storage,
        transport: Transport,
        state_machine: StateMachine,
        rng: random.Random,
    ) -> None:
        self.config = config
        self.storage = storage
        self.transport = transport
        self.state_machine = state_machine
        self.applier = EntryApplier(state_machine, self._on_applied)
        self.rng = rng
        self.log = Log("consensus", config.member_id)
        self.node: RaftNode | None = None
        self.leader_since: float | None = None
        self.error: CranberryleverError | None = None
        self.stopped = asyncio.Event()
        self._leadership: Leadership | None = None
        self._logged_status: tuple[str | None, int, bool] = (None, 0, False)
        self._pending = PendingCalls()
        self._is_saving = False
        self._saving_since: float | None = None
        self._is_cycle_scheduled = False
        self._timer: asyncio.TimerHandle | None = None
        self._tasks: set[asyncio.Task] = set()
        self.snapshot_writer = SnapshotWriter(
            storage, state_machine, config.snapshot_entries, config.snapshot_bytes
        )

    # Status ------------------------------------------------------------------------------------

    @property
    def leader_id(self) -> str | None:
        """Member id of the leader, or ``None`` if unknown."""
        return self.node.leader_id if self.node else None

    @property
    def term(self) -> int:
        """Current term of this member."""
        return self.node.hard_state.term if self.node else 0

    @property
    def commit_index(self) -> int:
        """Highest index known to be committed."""
        return self.node.commit_index if self.node else 0

    @property
    def applied_index(self) -> int:
        """Index of the last entry that the state machine contains."""
        return self.applier.applied_index

    @property
    def is_retired(self) -> bool:
        """Whether another member has refused this member's data directory."""
        return self.node is not None and self.node.refusal_reason is not None

    @property
    def folder_id(self) -> str:
        """Id of this member's data directory."""
        return self.node.folder_id if self.node else ""

    def has_lease(self, now: float) -> bool:
        """Return whether this member is a ready leader whose lease is valid at ``now`` (loop seconds).

        No other member can lead then.
        """
        return self.leader_since is not None and self.node.has_lease(now)

    def members(self) -> tuple[MemberStatus, ...]:
        """Return the status of each member of the group as this member sees it; empty before the start."""
        if self.node is None:
            return ()
        now = self._now()
        return tuple(member_status(self.node, member, now) for member in self.node.group())

    def group(self) -> tuple[str, ...]:
        """Return the ids of the members of the group; empty before the start."""
        return tuple(self.node.group()) if self.node is not None else ()

    def log_bytes(self) -> int:
        """Return the size in bytes of the commands in the log, which is kept in memory."""
        return self.node.log.size if self.node is not None else 0

    def transfer_leadership(self) -> None:
        """Step down as leader and transfer leadership to the voter with the highest match index, if any."""
        if self.node is not None and self.node.leadership is not None:
            self.node.transfer_leadership(self._now())
            self._schedule_cycle()

    # Life cycle --------------------------------------------------------------------------------

    async def start(self) -> None:
        """Load the stored state, restore the state machine and join the group."""
        stored = self.storage.load()
        self.node = RaftNode(self.config, stored, self._now(), self.rng)
        if stored.snapshot is not None:
            self.applier.restore(stored.snapshot)
        self.transport.set_receiver(self._on_frame)
        self._run_cycle()

    async def close(self) -> None:
        """Stop this member and close its storage; pending proposals fail with ``ProposalLostError``."""
        self._stop(ProposalLostError("this member was closed", "repeat the proposal at the leader"))
        if self._tasks:
            await asyncio.wait(self._tasks)
        await self.storage.close()

    async def wait_stopped(self) -> CranberryleverError | None:
        """Wait until the member stops and return the error that stopped it, if any."""
        await self.stopped.wait()
        return self.error

    def _fail(self, error: BaseException) -> None:
        """Record a fatal error and stop this member."""
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

    # Proposals and reads -----------------------------------------------------------------------

    async def propose(self, payload: bytes) -> object:
        """Replicate ``payload`` and return the result of applying it.

        Raises:
            NotLeaderError: This member is not the leader; the payload was not proposed.
            ProposalLostError: Leadership changed; the payload may or may not be committed.
        """
        self._require_running()
        index = self.node.propose(payload)
        future = self._pending.add_proposal(index, self.term)
        self._schedule_cycle()
        return await future

    async def read_barrier(self) -> None:
        """Wait until all entries committed before this call are applied on this member.

        A heartbeat round sent after this call confirms with a majority that there is no newer leader.

        Raises:
            NotLeaderError: This member is not the leader.
        """
        self._require_running()
        future = self._pending.add_read(self.node.request_read())
        self._schedule_cycle()
        await future

    def _require_running(self) -> None:
        if self.node is None or self.stopped.is_set():
            raise NotLeaderError()

    # Input -------------------------------------------------------------------------------------

    def _on_frame(self, frame: PeerFrame) -> None:
        try:
            message = read_frame(self.config, frame)
        except CodecError as error:
            self.log.warning("frame_refused", sender=frame.sender, error=str(error))
            return
        if message is None:
            return
        try:
            self.node.step(frame.sender, frame.folder_id, message, self._now())
        except Exception as error:
            self._fail(error)
            return
        self._schedule_cycle()

    def _schedule_cycle(self) -> None:
        """Schedule one cycle after the events of this loop iteration, so that they share a sync."""
        if not self._is_cycle_scheduled:
            self._is_cycle_scheduled = True
            asyncio.get_running_loop().call_soon(self._run_cycle)

    def _on_timer(self, deadline: float) -> None:
        """Run a cycle at ``deadline``; the loop may call timers early by up to its clock resolution."""
        self._timer = None
        self._run_cycle(max(deadline, self._now()))

    # Output ------------------------------------------------------------------------------------

    def _run_cycle(self, now: float | None = None) -> None:
        """Send, save and apply the pending output of the Raft node."""
        self._is_cycle_scheduled = False
        if self.stopped.is_set():
            return
        try:
            self._execute_cycle(self._now() if now is None else now)
        except Exception as error:
            self._fail(error)

    def _execute_cycle(self, now: float) -> None:
        node = self.node
        if now >= node.deadline():
            node.tick(now)
        self._step_down_on_slow_disk(now)
        if node.refusal_reason is not None:
            raise StorageError(node.refusal_reason, "empty the data directory and start without --bootstrap")
        for receiver, message in node.take_messages(now):
            self._send(receiver, message)
        self._save_next()
        self._apply()
        self._finish_reads()
        self._update_leadership(now)
        self._set_timer(now)

    def _step_down_on_slow_disk(self, now: float) -> None:
        """Transfer leadership while a sync is overdue, because committed entries cannot be applied."""
        is_overdue = self._saving_since is not None and now - self._saving_since > SYNC_TIMEOUT_S
        if is_overdue and self.node.leadership is not None and self.node.leadership.transferee() is not None:
            self.log.warning("leadership_given_up", sync_seconds=now - self._saving_since)
            self.node.transfer_leadership(now)

    def _send(self, receiver: str, message: Message) -> None:
        frame = build_frame(self.config, self.node.folder_id, receiver, message)
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
            self.applier.restore(batch.snapshot)
        self._is_saving = False
        for receiver, message in batch.messages:
            self._send(receiver, message)
        self.node.batch_synced(batch, self._now())
        self._run_cycle()

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
        """Apply committed entries, unless a snapshot that replaces the state is not saved yet."""
        if self.node.unsaved_snapshot is not None:
            return
        if self.applier.apply_next(self.node):
            self._schedule_cycle()
        self._start_snapshot()

    def _on_applied(self, entry: LogEntry, result: object) -> None:
        self._pending.finish_proposal(entry.index, entry.term, result)

    def _start_snapshot(self) -> None:
        """Start a snapshot if enough entries were applied since the last one."""
        snapshot = self.snapshot_writer.take_if_due(self.node, self.applier)
        if snapshot is not None:
            self._start_task(self.snapshot_writer.save(self.node, snapshot))

    def _finish_reads(self) -> None:
        node = self.node
        for read_id, index in node.confirmed_reads:
            self._pending.confirm_read(read_id, index)
        node.confirmed_reads.clear()
        for read_id in node.failed_reads:
            self._pending.fail_read(read_id, NotLeaderError(node.leader_id))
        node.failed_reads.clear()
        self._pending.finish_reads(self.applied_index)

    def _update_leadership(self, now: float) -> None:
        """Update ``leader_since`` and fail lost proposals after a change of leadership.

        The node may lose leadership and be elected again between two calls.
        """
        leadership = self.node.leadership
        if leadership is not self._leadership:
            self._leadership = leadership
            self.leader_since = None
            self._pending.fail_proposals(proposal_lost_error(), before_term=self.term if leadership else None)
        self._log_changes()
        if leadership is None or self.leader_since is not None:
            return
        if self.applied_index >= leadership.term_start_index and not leadership.is_forming(now):
            self.leader_since = now

    def _log_changes(self) -> None:
        """Log a change of the leader, the term or this member's right to vote."""
        status = (self.leader_id, self.term, self.node.may_vote())
        if status == self._logged_status:
            return
        self._logged_status = status
        leader, term, votes = status
        self.log.info("standing_changed", leader=leader, term=term, votes=votes)

    def _set_timer(self, now: float) -> None:
        """Set the timer to the next deadline; an earlier timer is kept to avoid a new one per heartbeat."""
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
    state_machine: StateMachine,
    rng: random.Random | None = None,
) -> RaftDriver:
    """Create a ``RaftDriver`` without starting it; by default, the operating system seeds ``rng``."""
    return RaftDriver(config, storage, transport, state_machine, rng or random.Random())
