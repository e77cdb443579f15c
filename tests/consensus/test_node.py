"""Unit tests of the Raft node."""

import random

import testtools

from cranberrylever.consensus import ConsensusConfig, Role
from cranberrylever.consensus._log import membership_entry
from cranberrylever.consensus._messages import (
    AppendReply,
    AppendRequest,
    EntryKind,
    HardState,
    LogEntry,
    Membership,
    VoteReply,
    VoteRequest,
)
from cranberrylever.consensus._node import RaftNode
from cranberrylever.consensus._storage import StoredState
from cranberrylever.errors import InvariantError, NotLeaderError

MEMBERS = {"a": "a:1", "b": "b:1", "c": "c:1"}
FOLDERS = {"a": "fa", "b": "fb", "c": "fc"}


def make_node(
    folder_id="fa", member_id="a", entries=None, hard_state=None, now=0.0, founder=False, silent_since=None
):
    """Return a restarted node; by default its log contains a committed membership entry."""
    if entries is None:
        entries = [membership_entry(1, 1, Membership(FOLDERS))]
    hard_state = hard_state or HardState(1, "b", 1 if entries else 0)
    stored = StoredState(folder_id, founder, hard_state, None, entries, 0)
    config = ConsensusConfig("c", member_id, MEMBERS, silent_since=silent_since)
    return RaftNode(config, stored, now, random.Random(1))


def sync(node, now):
    """Sync all pending batches and return their messages."""
    messages = []
    while (batch := node.take_batch()) is not None:
        messages += batch.messages
        node.batch_synced(batch, now)
    return [message for _, message in messages]


def elect(node, now=1.0):
    """Make ``node`` win an election with the vote of ``b`` and return the time of the election."""
    node.tick(now)
    sync(node, now)
    node.step("b", "fb", VoteReply(node.hard_state.term + 1, True, True), now)
    sync(node, now)
    node.step("b", "fb", VoteReply(node.hard_state.term, True), now)
    sync(node, now)
    return now


def acknowledge(node, now, member="b", folder="fb", round_number=None, match=None, votes=True):
    match = node.log.last_index if match is None else match
    number = node.leadership.round if round_number is None else round_number
    reply = AppendReply(node.hard_state.term, True, match, match, 0, 0, number, votes=votes)
    node.step(member, folder, reply, now)


class VoteTest(testtools.TestCase):
    def ask(self, node, now, sender="b", folder="fb", term=5, last=(9, 4)):
        node.step(sender, folder, VoteRequest(term, *last), now)
        return [m.granted for m in sync(node, now) if isinstance(m, VoteReply)]

    def test_no_vote_after_restart(self):
        """Guards against a vote after a restart while the lease of a leader may still be valid."""
        node = make_node(now=10.0)
        self.assertEqual([], self.ask(node, 10.24))
        node.step("b", "fb", VoteRequest(5, 9, 4, pre_vote=True), 10.24)
        self.assertEqual([False], [message.granted for message in sync(node, 10.24)])
        self.assertEqual([True], self.ask(node, 10.26))

    def test_process_that_took_long_to_start_votes_sooner(self):
        """Guards against a recovery after a power loss that takes the import time plus the vote delay.

        The time since the start of the process counts towards the vote delay.
        """
        timings = ConsensusConfig("c", "a", MEMBERS).timings
        waited = make_node(now=10.0, silent_since=10.0 - timings.election_min)
        assert waited.election_deadline < 10.0 + timings.election_max - timings.election_min
        just_started = make_node(now=10.0, silent_since=10.0 - timings.election_min / 2)
        assert just_started.no_vote_until == 10.0 + timings.election_min / 2

    def test_silent_since_is_at_most_the_start_time(self):
        """Guards against a vote during a leader lease because ``silent_since`` is after the start."""
        timings = ConsensusConfig("c", "a", MEMBERS).timings
        assert make_node(now=10.0, silent_since=11.0).no_vote_until == 10.0 + timings.election_min

    def test_no_vote_while_leader_is_heard(self):
        """Guards against a second leader during the lease of the first."""
        node = make_node()
        node.step("c", "fc", AppendRequest(2, 1, 1, 1, 1), 1.0)
        sync(node, 1.0)
        self.assertEqual([], self.ask(node, 1.24))
        self.assertEqual(2, node.hard_state.term)
        self.assertEqual([True], self.ask(node, 1.26))

    def test_heartbeat_records_the_vote(self):
        """Guards against a second vote in a term by a promoted member that lost its vote record."""
        node = make_node()
        node.step("c", "fc", AppendRequest(5, 1, 1, 1, 1), 1.0)
        sync(node, 1.0)
        self.assertEqual([False], self.ask(node, 2.0, term=5))

    def test_one_vote_per_term(self):
        """Guards against two leaders in one term."""
        node = make_node()
        self.assertEqual([True], self.ask(node, 1.0))
        self.assertEqual([False], self.ask(node, 1.0, sender="c", folder="fc"))
        self.assertEqual([True], self.ask(node, 1.0))

    def test_shorter_log_gets_no_vote(self):
        """Guards against a leader that lacks committed entries."""
        entries = [membership_entry(1, 1, Membership(FOLDERS)), LogEntry(2, 3, EntryKind.COMMAND)]
        node = make_node(entries=entries, hard_state=HardState(3, "", 1))
        self.assertEqual([False], self.ask(node, 1.0, last=(1, 3)))
        self.assertEqual([False], self.ask(node, 1.0, last=(9, 2)))

    def test_unknown_folder_gets_no_vote(self):
        """Guards against a vote for a candidate that lost its disk."""
        node = make_node()
        self.assertEqual([], self.ask(node, 1.0, folder="other"))
        self.assertEqual(1, node.hard_state.term)

    def test_candidate_promoted_later_gets_a_vote(self):
        """Guards against a five-member group without a leader because one member lacks a promotion entry."""
        for membership_index, expected in ((1, []), (2, [True])):
            node = make_node()
            request = VoteRequest(5, 9, 4, membership_index=membership_index)
            node.step("b", "new", request, 1.0)
            granted = [message.granted for message in sync(node, 1.0)]
            self.assertEqual(expected, granted)

    def test_learner_does_not_vote(self):
        """Guards against a second vote in a term by a member that lost its vote record with its disk."""
        for entries in ([], None):
            node = make_node(folder_id="new", entries=entries, hard_state=HardState())
            self.assertNotIn(True, self.ask(node, 1.0))
            node.tick(2.0)
            sync(node, 2.0)
            self.assertIs(Role.FOLLOWER, node.role)

    def test_promotion_counts_when_committed(self):
        """Guards against a vote based on an uncommitted promotion, which may still be truncated."""
        folders = {**FOLDERS, "a": "new"}
        entries = [membership_entry(1, 1, Membership(FOLDERS))]
        node = make_node(folder_id="new", entries=entries)
        entry = membership_entry(2, 2, Membership(folders, ("fa",)))
        node.step("b", "fb", AppendRequest(2, 1, 1, 1, 1, (entry,)), 1.0)
        sync(node, 1.0)
        self.assertFalse(node.may_vote())
        node.step("b", "fb", AppendRequest(2, 2, 2, 2, 2), 1.0)
        self.assertTrue(node.may_vote())
        self.assertFalse(node.is_persisted_voter())
        sync(node, 1.0)
        self.assertEqual(2, node.hard_state.commit_index)
        self.assertTrue(node.is_persisted_voter())
        self.assertEqual([True], self.ask(node, 2.0, term=3))

    def test_vote_of_unknown_folder_is_not_counted(self):
        """Guards against a majority that includes a member with a lost disk."""
        node = make_node()
        node.tick(1.0)
        sync(node, 1.0)
        node.step("b", "other", VoteReply(2, True, True), 1.0)
        self.assertIs(Role.PRE_CANDIDATE, node.role)
        node.step("c", "fc", VoteReply(2, True, True), 1.0)
        self.assertIs(Role.CANDIDATE, node.role)


class SyncTest(testtools.TestCase):
    def test_vote_waits_for_sync(self):
        """Guards against a vote that is sent before it is synced and lost in a crash."""
        node = make_node()
        node.step("b", "fb", VoteRequest(5, 9, 4), 1.0)
        self.assertEqual([], node.take_messages(1.0))
        batch = node.take_batch()
        self.assertEqual("b", batch.hard_state.voted_for)
        self.assertEqual(1, len(batch.messages))

    def test_own_vote_waits_for_sync(self):
        """Guards against a leader that is elected before its own vote is synced."""
        node = make_node()
        node.tick(1.0)
        sync(node, 1.0)
        node.step("b", "fb", VoteReply(2, True, True), 1.0)
        batch = node.take_batch()
        node.step("b", "fb", VoteReply(2, True), 1.0)
        self.assertIs(Role.CANDIDATE, node.role)
        node.batch_synced(batch, 1.0)
        self.assertIs(Role.LEADER, node.role)

    def test_acknowledgement_waits_for_sync(self):
        """Guards against an entry that is acknowledged before it is synced and lost in a crash."""
        node = make_node()
        entry = LogEntry(2, 2, EntryKind.COMMAND, b"x")
        node.step("b", "fb", AppendRequest(2, 1, 1, 1, 1, (entry,)), 1.0)
        self.assertEqual([], node.take_messages(1.0))
        batch = node.take_batch()
        self.assertEqual((entry,), batch.entries)
        self.assertTrue(batch.messages[0][1].success)
        self.assertEqual(1, node.persisted_index)

    def test_truncation_during_sync(self):
        """Guards against entries that count as synced although they were replaced during the sync."""
        node = make_node()
        old = tuple(LogEntry(index, 2, EntryKind.COMMAND, b"old") for index in (2, 3, 4))
        node.step("b", "fb", AppendRequest(2, 1, 1, 1, 1, old), 1.0)
        batch = node.take_batch()
        new = LogEntry(3, 3, EntryKind.COMMAND, b"new")
        node.step("c", "fc", AppendRequest(3, 2, 2, 1, 1, (new,)), 1.5)
        node.batch_synced(batch, 1.5)
        self.assertEqual(2, node.persisted_index)
        following = node.take_batch()
        self.assertEqual((3, (new,)), (following.truncate_from, following.entries))

    def test_leader_counts_only_synced_entries(self):
        """Guards against a commit that counts the unsynced entry of the leader."""
        node = make_node()
        now = elect(node)
        index = node.propose(b"x")
        acknowledge(node, now)
        self.assertLess(node.commit_index, index)
        sync(node, now)
        self.assertEqual(index, node.commit_index)


class LeaderTest(testtools.TestCase):
    def test_lease_counts_from_sending(self):
        """Guards against a lease that is extended by the delay of a reply."""
        node = make_node()
        sent = elect(node)
        acknowledge(node, sent + 0.2)
        self.assertTrue(node.has_lease(sent + 0.22))
        self.assertFalse(node.has_lease(sent + 0.226))

    def test_lost_disk_does_not_count(self):
        """Guards against commits, leases and reads that count a member with a lost disk."""
        node = make_node()
        now = elect(node)
        read = node.request_read()
        node.take_messages(now)
        acknowledge(node, now, folder="other")
        acknowledge(node, now, member="c", folder="other")
        self.assertFalse(node.leadership.has_committed)
        self.assertFalse(node.has_lease(now))
        self.assertEqual([], node.confirmed_reads)
        acknowledge(node, now)
        self.assertEqual([(read, node.leadership.term_start_index)], node.confirmed_reads)

    def test_read_needs_a_later_round(self):
        """Guards against a read that is confirmed by a reply to an earlier heartbeat round."""
        node = make_node()
        now = elect(node)
        acknowledge(node, now)
        node.request_read()
        acknowledge(node, now)
        self.assertEqual([], node.confirmed_reads)
        node.take_messages(now)
        acknowledge(node, now)
        self.assertEqual(1, len(node.confirmed_reads))

    def test_entry_of_earlier_term_is_not_counted(self):
        """Guards against an entry of an earlier term that is committed by counting its copies."""
        entries = [membership_entry(1, 1, Membership(FOLDERS)), LogEntry(2, 1, EntryKind.COMMAND)]
        node = make_node(entries=entries)
        now = elect(node)
        acknowledge(node, now, match=2)
        self.assertEqual(1, node.commit_index)
        acknowledge(node, now, match=3)
        self.assertEqual(3, node.commit_index)

    def test_promotion_is_committed_by_the_others(self):
        """Guards against a promotion that is committed by the copy of the promoted member."""
        node = make_node()
        now = elect(node)
        acknowledge(node, now)
        acknowledge(node, now, member="c", folder="new")
        self.assertEqual("new", node.memberships.latest.folders["c"])
        self.assertEqual(("fc",), node.memberships.latest.retired)
        sync(node, now)
        acknowledge(node, now, member="c", folder="new")
        self.assertLess(node.commit_index, node.memberships.latest_index)
        acknowledge(node, now)
        self.assertEqual(node.memberships.latest_index, node.commit_index)

    def test_promoted_member_counts_once_it_synced_the_commit(self):
        """Guards against a commit that counts a member which would be a learner again after a crash."""
        node = make_node()
        now = elect(node)
        acknowledge(node, now)
        acknowledge(node, now, member="c", folder="new", votes=False)
        sync(node, now)
        acknowledge(node, now)
        index = node.propose(b"x")
        sync(node, now)
        acknowledge(node, now, member="c", folder="new", votes=False)
        self.assertLess(node.commit_index, index)
        acknowledge(node, now, member="c", folder="new")
        self.assertEqual(index, node.commit_index)

    def test_leader_without_majority_steps_down(self):
        """Guards against a partitioned leader that accepts proposals forever."""
        node = make_node()
        now = elect(node)
        for step in range(1, 13):
            node.tick(now + 0.05 * step)
        self.assertIs(Role.FOLLOWER, node.role)
        self.assertRaises(NotLeaderError, node.propose, b"x")

    def test_two_leaders_in_a_term_are_detected(self):
        """Guards against a member that keeps running after a violation of election safety."""
        node = make_node()
        now = elect(node)
        request = AppendRequest(node.hard_state.term, 1, 1, 1, 1)
        self.assertRaises(InvariantError, node.step, "c", "fc", request, now)

    def test_pipelined_appends(self):
        """Guards against append requests that wait for the reply to the previous one."""
        node = make_node()
        now = elect(node)
        acknowledge(node, now)
        node.take_messages(now)
        for _ in range(5):
            node.propose(b"x")
            sent = [m for receiver, m in node.take_messages(now) if receiver == "b" and m.entries]
            self.assertEqual(1, len(sent))
