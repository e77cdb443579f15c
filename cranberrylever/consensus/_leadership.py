"""The leader's part of Raft: replication, lease, read index and readmission."""

import math

import attrs

from cranberrylever.consensus._log import is_voter, membership_entry
from cranberrylever.consensus._messages import (
    AppendReply,
    AppendRequest,
    EntryKind,
    FolderRefused,
    LogEntry,
    Membership,
    SnapshotChunk,
    SnapshotReply,
)
from cranberrylever.consensus._progress import Mode, Progress
from cranberrylever.invariants import check

MAX_APPEND_ENTRIES = 512
MAX_APPEND_BYTES = 256 * 1024
MAX_IN_FLIGHT = 32
SNAPSHOT_CHUNK_BYTES = 256 * 1024


@attrs.define
class _Read:
    """A read that waits for a majority to confirm the leader; ``round`` is 0 until one was started."""

    read_id: int
    round: int = 0


class Leadership:
    """State of a leader during one term.

    Args:
        node: The Raft node that leads.
        now: Time of the election in seconds.
    """

    def __init__(self, node, now: float) -> None:
        self.node = node
        self.progress: dict[str, Progress] = {}
        for member in node.peers:
            folder = node.folders.get(member)
            progress = Progress(node.log.last_index + 1)
            if folder is not None:
                progress.folder_id = folder.folder_id
                progress.founder = folder.founder
            self.progress[member] = progress
        self.round = 0
        self.confirmed_round = 0
        self.round_sent: dict[int, float] = {0: now}
        self.started_at = now
        self.heartbeat_at = now
        self.reads: list[_Read] = []
        self.first_index = node.log.last_index + 1
        self._append_first_entry()

    def _append_first_entry(self) -> None:
        """Append an entry of this term; the first leader of a group appends the first membership."""
        node = self.node
        if node.memberships.latest is not None:
            node.append_entry(LogEntry(self.first_index, node.hard.term, EntryKind.NOOP))
            return
        folders = dict.fromkeys(node.config.members, "")
        folders[node.config.member_id] = node.folder_id
        for member, folder in node.folders.items():
            if folder.founder:
                folders[member] = folder.folder_id
        node.append_entry(membership_entry(self.first_index, node.hard.term, Membership(folders)))

    @property
    def has_committed(self) -> bool:
        """Whether an entry of this term is committed."""
        return self.node.commit_index >= self.first_index

    def deadline(self) -> float:
        """Return when the next heartbeat round is due."""
        return self.heartbeat_at

    def tick(self, now: float) -> None:
        """Start a heartbeat round when due and step down without a majority."""
        if now < self.heartbeat_at:
            return
        if now - self.round_sent[self.confirmed_round] > self.node.config.timings.election_max:
            self.node.step_down(now)
            return
        self._drop_silent(now)
        self._replace_silent(now)
        self.start_round(now)

    def _drop_silent(self, now: float) -> None:
        """Forget learners, and voters that were replaced, that are not heard any more."""
        kept = set(self.node.group())
        timeout = self.node.config.timings.learner_timeout
        for member in [member for member in self.progress if member not in kept]:
            if self._silence(member, now) > timeout:
                del self.progress[member]

    def _silence(self, member: str, now: float) -> float:
        folder = self.node.folders.get(member)
        return now - max(folder.heard_at if folder else -math.inf, self.started_at)

    def _replace_silent(self, now: float) -> None:
        """Give the vote of a voter that is gone to a learner that holds the whole committed log.

        The entry is committed by a majority that counts neither of the two, so all other voters must answer.
        """
        node = self.node
        latest = node.memberships.latest
        if not self.has_committed or latest is None or node.memberships.latest_index > node.commit_index:
            return
        timings = node.config.timings
        voters = [member for member in latest.folders if member != node.config.member_id]
        silent = [member for member in voters if self._silence(member, now) > timings.replace_after]
        others = [member for member in voters if member not in silent]
        if len(silent) != 1 or any(self._silence(member, now) > timings.election_max for member in others):
            return
        learner = next((member for member in self.progress if self._is_ready(member, now)), None)
        if learner is None:
            return
        self._append_replacement(silent[0], learner, self.progress[learner].folder_id)

    def _is_ready(self, member: str, now: float) -> bool:
        """Tell whether a learner may take a vote."""
        node = self.node
        progress = self.progress[member]
        latest = node.memberships.latest
        is_learner = member not in latest.folders and progress.folder_id not in (*latest.retired, "")
        is_complete = progress.match_index >= node.commit_index
        return is_learner and is_complete and self._silence(member, now) < node.config.timings.election_max

    def successor(self) -> str | None:
        """Return the voter that has synced most of the log, ``None`` when none answers."""
        voters = [member for member in self.progress if self.counts(member)]
        return max(voters, key=lambda member: self.progress[member].match_index, default=None)

    def _append_replacement(self, removed: str, added: str, folder_id: str) -> None:
        node = self.node
        latest = node.memberships.latest
        bound = latest.folders[removed]
        folders = {member: folder for member, folder in latest.folders.items() if member != removed}
        folders[added] = folder_id
        retired = latest.retired + ((bound,) if bound else ())
        index = node.log.last_index + 1
        node.append_entry(membership_entry(index, node.hard.term, Membership(folders, retired)))

    def start_round(self, now: float) -> None:
        """Send a heartbeat, or entries, to every member under a new round number."""
        self.round += 1
        self.round_sent[self.round] = now
        self.heartbeat_at = now + self.node.config.timings.heartbeat
        for read in self.reads:
            if read.round == 0:
                read.round = self.round
        for member in self.progress:
            self._send(member, is_heartbeat=True)
        self._confirm_reads()

    def broadcast(self) -> None:
        """Send new entries to every member that can take them."""
        for member in self.progress:
            self._send(member, is_heartbeat=False)

    def _send(self, member: str, is_heartbeat: bool) -> None:
        progress = self.progress[member]
        log = self.node.log
        if progress.mode is not Mode.SNAPSHOT and progress.next_index <= log.base_index:
            check(self.node.snapshot is not None, "a compacted log has a snapshot")
            progress.start_snapshot(self.node.snapshot)
            self._send_chunk(member)
            return
        if progress.mode is Mode.SNAPSHOT:
            if is_heartbeat:
                self._send_chunk(member)
            return
        while (
            not progress.is_paused
            and len(progress.in_flight) < MAX_IN_FLIGHT
            and progress.next_index <= log.last_index
        ):
            entries = log.slice_from(progress.next_index, MAX_APPEND_ENTRIES, MAX_APPEND_BYTES)
            self._send_append(member, progress, entries)
            is_heartbeat = False
        if is_heartbeat:
            self._send_append(member, progress, ())

    def add_learner(self, member: str, folder_id: str, now: float) -> None:
        """Send the log to a member that does not vote."""
        self.node.heard(member, now)
        if member not in self.progress:
            self.progress[member] = Progress(self.node.log.last_index + 1, folder_id)

    def _send_append(self, member: str, progress: Progress, entries: tuple[LogEntry, ...]) -> None:
        previous = progress.next_index - 1
        request = AppendRequest(
            self.node.hard.term,
            previous,
            self.node.log.term_at(previous),
            self.node.commit_index,
            self.round,
            entries,
        )
        if progress.mode is Mode.PROBE:
            progress.is_paused = progress.is_paused or bool(entries)
        elif entries:
            progress.next_index += len(entries)
            progress.in_flight.append(entries[-1].index)
        self.node.send(member, request)

    def _send_chunk(self, member: str) -> None:
        progress = self.progress[member]
        snapshot = progress.snapshot
        offset = progress.snapshot_offset
        data = snapshot.data[offset : offset + SNAPSHOT_CHUNK_BYTES]
        self.node.send(
            member,
            SnapshotChunk(
                self.node.hard.term,
                snapshot.index,
                snapshot.term,
                snapshot.membership,
                offset,
                len(snapshot.data),
                data,
                self.round,
            ),
        )

    def observe_folder(self, member: str, folder_id: str, reply: AppendReply | SnapshotReply) -> None:
        """Take note of the member's folder and start over when it is another one."""
        if self.progress[member].folder_id != folder_id:
            self.progress[member] = Progress(self.node.log.last_index + 1, folder_id)
        self.progress[member].founder = reply.founder
        self.progress[member].votes = reply.votes

    def on_append_reply(self, member: str, reply: AppendReply, now: float) -> None:
        """Take over a follower's answer."""
        progress = self.progress[member]
        check(reply.round <= self.round, f"{member} answers a round that was sent")
        progress.acknowledged_round = max(progress.acknowledged_round, reply.round)
        if reply.success:
            check(
                reply.match_index <= self.node.log.last_index,
                f"{member} matches up to {reply.match_index}, which is in the leader's log",
            )
            progress.acknowledge(reply.match_index, self.round)
            self.node.advance_commit(min(reply.match_index, reply.commit_index))
            self.update_commit()
            self._readmit(member)
        else:
            self._on_rejection(member, progress, reply)
        self._confirm_reads()
        self._send(member, is_heartbeat=False)

    def _on_rejection(self, member: str, progress: Progress, reply: AppendReply) -> None:
        if progress.mode is Mode.SNAPSHOT:
            return
        if reply.previous_index <= progress.match_index:
            if reply.previous_index == progress.match_index and reply.round > progress.match_round > 0:
                self._refuse_lost_log(member, progress)
            return
        if progress.mode is Mode.PROBE and reply.previous_index != progress.next_index - 1:
            return
        hint = min(reply.hint_index, reply.previous_index - 1)
        progress.probe(max(progress.match_index, hint) + 1)

    def _refuse_lost_log(self, member: str, progress: Progress) -> None:
        """Refuse a member that denies entries which it had synced and acknowledged before."""
        reason = f"the log of folder {progress.folder_id} lost synced entries up to {progress.match_index}"
        self.node.send(member, FolderRefused(progress.folder_id, reason))

    def on_snapshot_reply(self, member: str, reply: SnapshotReply, now: float) -> None:
        """Send the next chunk, or go on with the log after an installation."""
        progress = self.progress[member]
        progress.acknowledged_round = max(progress.acknowledged_round, reply.round)
        self._confirm_reads()
        if reply.installed:
            progress.acknowledge(reply.last_index, self.round)
            self.update_commit()
            self._readmit(member)
            self._send(member, is_heartbeat=False)
            return
        if progress.snapshot is None or progress.snapshot.index != reply.last_index:
            return
        if reply.next_offset != progress.snapshot_offset:
            progress.snapshot_offset = reply.next_offset
            if reply.next_offset < len(progress.snapshot.data):
                self._send_chunk(member)

    def counts(self, member: str) -> bool:
        """Return whether answers of ``member`` count towards a majority.

        The folder must vote under the committed and under the latest membership. A replaced folder
        stops counting when its replacement is appended. The new one counts once that is committed and the
        member has synced this fact; otherwise a kill could make it a learner again after the leader relied
        on its copy.
        """
        progress = self.progress[member]
        if not progress.votes:
            return False
        history = self.node.memberships
        _, committed = history.at(self.node.commit_index)
        return all(
            is_voter(membership, member, progress.folder_id, progress.founder)
            for membership in (committed, history.latest)
        )

    def _quorum_value(self, own: int, values: dict[str, int]) -> int:
        """Return the greatest value that a majority of voters has reached."""
        counted = (value for member, value in values.items() if self.counts(member))
        reached = sorted([own, *counted], reverse=True)
        quorum = self.node.quorum
        return reached[quorum - 1] if len(reached) >= quorum else 0

    def update_commit(self) -> None:
        """Commit what a majority of voters has synced, when it is of this term."""
        matches = {member: progress.match_index for member, progress in self.progress.items()}
        index = self._quorum_value(self.node.persisted_index, matches)
        if index >= self.first_index:
            self.node.advance_commit(index)
            self._confirm_reads()

    def _update_confirmed_round(self) -> None:
        """Take note of the last round that a majority answered."""
        rounds = {member: progress.acknowledged_round for member, progress in self.progress.items()}
        newest = self._quorum_value(self.round, rounds)
        if newest <= self.confirmed_round:
            return
        self.confirmed_round = newest
        for number in [number for number in self.round_sent if number < newest]:
            del self.round_sent[number]

    def lease_until(self) -> float:
        """Return when the lease ends, counted from the sending of the round that a majority answered."""
        if self.confirmed_round == 0:
            return -math.inf
        timings = self.node.config.timings
        return self.round_sent[self.confirmed_round] + timings.election_min * (1 - timings.drift_margin)

    def request_read(self, read_id: int) -> None:
        """Queue a read until a round sent after this call is answered."""
        self.reads.append(_Read(read_id))

    def has_unsent_reads(self) -> bool:
        """Return whether a read waits for a round to be started."""
        return any(read.round == 0 for read in self.reads)

    def _confirm_reads(self) -> None:
        self._update_confirmed_round()
        if not self.reads or not self.has_committed:
            return
        newest = self.confirmed_round
        done = [read for read in self.reads if 0 < read.round <= newest]
        self.reads = [read for read in self.reads if not 0 < read.round <= newest]
        for read in done:
            self.node.confirmed_reads.append((read.read_id, self.node.commit_index))

    def _readmit(self, member: str) -> None:
        """Append an entry that lets a caught-up learner vote under its new folder id."""
        node = self.node
        progress = self.progress[member]
        history = node.memberships
        if not self.has_committed or history.latest_index > node.commit_index or history.latest is None:
            return
        if not progress.folder_id or progress.folder_id in history.latest.retired:
            return
        bound = history.latest.folders.get(member, "")
        if member not in history.latest.folders:
            return
        if bound == progress.folder_id or progress.match_index < node.commit_index:
            return
        retired = history.latest.retired + ((bound,) if bound else ())
        folders = {**history.latest.folders, member: progress.folder_id}
        index = node.log.last_index + 1
        node.append_entry(membership_entry(index, node.hard.term, Membership(folders, retired)))
        self.broadcast()
