"""Tests of permits, some as simulations of many entries that share a target in cold start."""

import random

import testtools

from cranberrylever.route_control._permits import PermitLedger
from cranberrylever.route_entry._permit_gate import cold_bound, rate_limit_bound
from cranberrylever.route_entry._permits import PERMIT_ANSWER_TIME_S, PermitClient
from cranberrylever.settings import LimitSettings
from cranberrylever.wire import PERMIT_LIFETIME_S, PermitRequest

RULES = LimitSettings(1.5, 5.0, 0.2, 56.0, 10.0)
RATE = 9.9
BOUND = RATE * RULES.cold_factor + RULES.cold_extra
COLD_BOUND = cold_bound(RATE, RULES)
INCARNATION = ("t", 1)


def replay(
    entries,
    demand,
    seed,
    seconds=12.0,
    answer_time=lambda rng: rng.uniform(0.001, 0.02),
    bound=COLD_BOUND,
    new_leader_at=None,
):
    """Simulate ``demand`` requests per second over all entries; return the times at which they are sent."""
    rng = random.Random(seed)
    ledger = PermitLedger(-10.0)
    clients = [PermitClient(lambda: None) for _ in range(entries)]
    waiting = [[] for _ in range(entries)]
    answers = []
    sent, sequence, now = [], 0, 0.0
    while now < seconds:
        now += 0.005
        if new_leader_at is not None and now >= new_leader_at:
            ledger, new_leader_at = PermitLedger(now), None
        for number, client in enumerate(clients):
            for due, client_number, permits, report_sequence in [item for item in answers if item[0] <= now]:
                clients[client_number].record(permits, report_sequence, now)
                answers.remove((due, client_number, permits, report_sequence))
            if rng.random() < 0.005 * demand / entries:
                wait = client.waiting(INCARNATION, bound, now)
                wait.__enter__()
                waiting[number].append(wait)
            while waiting[number] and client.try_acquire(INCARNATION, now):
                waiting[number].pop().__exit__(None, None, None)
                sent.append(now)
            sequence += 1
            permit_requests = client.build_requests(sequence, now)
            if permit_requests:
                arrived = now + answer_time(rng) / 2
                answers.append(
                    (arrived + answer_time(rng) / 2, number, ledger.grant(permit_requests, arrived), sequence)
                )
    return sent


class PermitsTest(testtools.TestCase):
    def test_all_entries_together_stay_below_the_bound_in_any_second(self):
        """Guards against entries that each send the full rate to a target in cold start."""
        for entries in (1, 8, 71):
            sent = replay(entries, demand=60.0, seed=entries)
            for start in sent:
                assert sum(start <= sent_at < start + 1.0 for sent_at in sent) <= BOUND

    def test_target_gets_no_more_than_its_rate_limit_from_all_entries(self):
        """Guards against more than the limit of a target, also across a change of leader (canopy-gate)."""
        for entries, limit in ((8, 0.2), (8, 1.3), (71, 3.0), (8, 12.0)):
            sent = replay(
                entries, 4 * limit + 2, entries, 24.0, bound=rate_limit_bound(limit), new_leader_at=9.0
            )
            for start in sent:
                in_window = sum(start <= sent_at < start + 4.0 for sent_at in sent)
                assert in_window <= 1.5 * limit * 4.0 + 5, (entries, limit, in_window)

    def test_target_gets_the_rate_that_it_accepts(self):
        """Guards against a target that could serve callers and gets a part of its limit only."""
        for entries, limit in ((8, 0.2), (8, 1.3), (71, 3.0), (8, 12.0)):
            sent = replay(entries, 4 * limit + 2, entries, 20.0, bound=rate_limit_bound(limit))
            assert 0.8 * limit * 20.0 <= len(sent) <= 1.2 * limit * 20.0 + 1, (entries, limit, len(sent))

    def test_late_answers_keep_the_bound(self):
        """Guards against permits that are delayed and used together with later ones."""
        sent = replay(8, demand=60.0, seed=3, answer_time=lambda rng: rng.choice((0.01, 0.5, 0.9)))
        for start in sent:
            assert sum(start <= sent_at < start + 1.0 for sent_at in sent) <= BOUND

    def test_many_entries_use_what_equal_shares_would_waste(self):
        """Simulates 71 entries with occasional requests; with equal shares of the rate none would be sent."""
        sent = replay(71, demand=10.0, seed=1)
        assert len(sent) / 12.0 > 0.9 * min(RATE, 10.0)

    def test_new_leader_waits_until_permits_of_the_previous_one_expire(self):
        """Guards against twice the bound within the second of a change of leader."""
        ledger = PermitLedger(100.0)
        permits = ledger.grant([PermitRequest(*INCARNATION, 3, BOUND)], 100.5)[0]
        assert permits.count == 0
        assert 0.7 < permits.next_in < 0.9
        assert ledger.grant([PermitRequest(*INCARNATION, 3, BOUND)], 101.4)[0].count == 3

    def test_permit_lifetime_starts_with_its_request(self):
        """Guards against a permit that is used after the leader counts it as expired."""
        client = PermitClient(lambda: None)
        with client.waiting(INCARNATION, COLD_BOUND, 0.0):
            permit_requests = client.build_requests(1, 0.0)
            client.record(PermitLedger(-10.0).grant(permit_requests, 0.2), 1, 0.25)
            assert client.delay(INCARNATION, 0.26) == 0.0
            assert not client.try_acquire(INCARNATION, PERMIT_LIFETIME_S + 0.01)

    def test_requests_do_not_wait_for_unresponsive_leader(self):
        """Guards against requests that wait until their deadline for a lost leader."""
        client = PermitClient(lambda: None)
        with client.waiting(INCARNATION, COLD_BOUND, 0.0):
            assert len(client.build_requests(1, 0.0)) == 1
            assert client.build_requests(2, 0.1) == ()
            assert client.delay(INCARNATION, 0.1) == PERMIT_ANSWER_TIME_S
            assert len(client.build_requests(3, 0.2)) == 1
            assert client.delay(INCARNATION, 0.4) > 0.5

    def test_leader_is_asked_again_after_unanswered_request(self):
        """Guards against refusing a target's requests forever because one permit request had no answer."""
        client = PermitClient(lambda: None)
        with client.waiting(INCARNATION, COLD_BOUND, 0.0):
            client.build_requests(1, 0.0)
        assert client.delay(INCARNATION, 0.5) > PERMIT_ANSWER_TIME_S
        assert client.delay(INCARNATION, 5.0) == PERMIT_ANSWER_TIME_S
