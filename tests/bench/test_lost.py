"""Tests of the check for requests that entries lose around planned stops."""

import attrs
import testtools

from bench.routes.lost import Run, SentRequest, Stop, find_lost

GRACE_S = 6.0
SIGTERM_AT = 100.0
LAST_SIXTH_AT = 105.0
STOP = Stop("e", SIGTERM_AT, 105.9)


def lost_ids(request: SentRequest, *runs: Run, stops: tuple[Stop, ...] = (STOP,)) -> list[str]:
    """Return the ids that the check finds in one request with its runs."""
    return [item.request_id for item in find_lost(stops, [request], runs, GRACE_S)]


def cut_request(**changes: object) -> SentRequest:
    """Return a request sent before SIGTERM whose connection ended 4.8 s after it, without an answer."""
    request = SentRequest("q", "e", 90.0, time_limit=110.0, sent_at=99.0, ended_at=104.8)
    return attrs.evolve(request, **changes)


def answered_request(**changes: object) -> SentRequest:
    """Return the same with a complete answer of its target."""
    return cut_request(**{"status": 200, "is_complete": True, "is_from_target": True, **changes})


def cut_run(**changes: object) -> Run:
    """Return a run that the entry broke off."""
    run = Run("q", "t", started_at=99.0, work_ended_at=104.8, is_cut_off=True)
    return attrs.evolve(run, **changes)


class LostTest(testtools.TestCase):
    def test_request_cut_off_before_the_last_sixth_is_lost(self):
        """Guards against an entry that ends at a fraction of the grace time."""
        self.assertEqual(["q"], lost_ids(cut_request(), cut_run()))

    def test_work_in_the_last_sixth_excuses_a_request_that_came_in_time(self):
        """Guards against a check that blames an entry for work that outlasts the stop."""
        ended_at = LAST_SIXTH_AT + 0.1
        run = cut_run(work_ended_at=ended_at)
        self.assertEqual([], lost_ids(cut_request(ended_at=ended_at), run))
        self.assertEqual([], lost_ids(cut_request(ended_at=ended_at, sent_at=SIGTERM_AT + 2.9), run))

    def test_work_in_the_last_sixth_does_not_excuse_a_late_request(self):
        """Guards against an entry that accepts a request late in its stop and then breaks it off."""
        ended_at = LAST_SIXTH_AT + 0.1
        request = cut_request(ended_at=ended_at, sent_at=SIGTERM_AT + 3.1)
        self.assertEqual(["q"], lost_ids(request, cut_run(work_ended_at=ended_at)))

    def test_late_requests_scale_with_the_grace_time(self):
        """Guards against a limit of 3 s in runs whose grace time is shorter than that."""
        run = cut_run(work_ended_at=SIGTERM_AT + 2.9)
        for sent_after, expected in ((1.4, []), (1.6, ["q"])):
            request = cut_request(sent_at=SIGTERM_AT + sent_after, ended_at=SIGTERM_AT + 2.9)
            lost = find_lost([STOP], [request], [run], GRACE_S / 2)
            self.assertEqual(expected, [item.request_id for item in lost])

    def test_silence_of_a_target_is_no_excuse(self):
        """Guards against a request at a target that has done its work and is silent, cut off at the end."""
        run = cut_run(work_ended_at=101.0, is_cut_off=False)
        self.assertEqual(["q"], lost_ids(cut_request(ended_at=105.8), run))

    def test_reached_time_limit_is_an_excuse(self):
        """Guards against a check that blames an entry for the caller's deadline or the route's timeout."""
        self.assertEqual([], lost_ids(cut_request(time_limit=104.8), cut_run()))
        self.assertEqual(["q"], lost_ids(cut_request(time_limit=105.0), cut_run()))

    def test_target_that_broke_off_is_an_excuse(self):
        """Guards against a check that blames an entry for the end of a target."""
        self.assertEqual([], lost_ids(cut_request(), cut_run(is_broken_off=True, is_cut_off=False)))

    def test_own_answer_of_the_entry_during_work_is_a_loss(self):
        """Guards against an entry that ends a request by its own answer while a target is at work."""
        request = answered_request(status=504, is_from_target=False)
        self.assertEqual(["q"], lost_ids(request, cut_run()))
        self.assertEqual(["q"], lost_ids(attrs.evolve(request, status=503), cut_run()))

    def test_own_answer_of_the_entry_after_work_is_no_loss(self):
        """Guards against a check that forbids the answer that a caller of a silent target can get."""
        request = answered_request(status=504, is_from_target=False)
        self.assertEqual([], lost_ids(request, cut_run(work_ended_at=101.0, is_cut_off=False)))

    def test_answer_of_a_second_target_is_no_loss(self):
        """Guards against a check that counts a first send that was given up for a second one."""
        second = Run("q", "u", started_at=103.0, work_ended_at=104.7)
        self.assertEqual([], lost_ids(answered_request(), cut_run(work_ended_at=103.0), second))

    def test_part_of_an_answer_is_a_loss(self):
        """Guards against an answer that ends within its body."""
        run = cut_run(work_ended_at=104.0, is_cut_off=False)
        self.assertEqual(["q"], lost_ids(answered_request(is_complete=False), run))

    def test_request_that_crosses_the_end_of_its_connection_is_no_loss(self):
        """Guards against a check that blames an entry for a request that it cannot have read."""
        self.assertEqual([], lost_ids(cut_request(sent_at=104.7)))
        self.assertEqual([], lost_ids(cut_request(sent_at=float("inf"))))

    def test_request_that_is_held_and_dropped_is_a_loss(self):
        """Guards against an entry that reads a request and closes its connection later."""
        self.assertEqual(["q"], lost_ids(cut_request(sent_at=104.5)))

    def test_closed_connection_without_a_stop_is_a_loss(self):
        """Guards against a check that overlooks losses at entries that run on, or in their next life."""
        self.assertEqual(["q"], lost_ids(cut_request(), cut_run(), stops=()))
        other = Stop("f", SIGTERM_AT)
        self.assertEqual(["q"], lost_ids(cut_request(), cut_run(), stops=(other,)))

    def test_own_answer_without_a_stop_is_not_checked(self):
        """Guards against a check of all errors of an entry, which others cause as well."""
        request = answered_request(status=502, is_from_target=False)
        self.assertEqual([], lost_ids(request, cut_run(), stops=()))
        self.assertEqual([], lost_ids(request, cut_run(), stops=(Stop("e", 80.0, 85.0),)))
        self.assertEqual([], lost_ids(request, cut_run(), stops=(Stop("e", 105.0, 105.1),)))

    def test_stop_of_the_process_with_the_connection_counts(self):
        """Guards against a loss that is judged by the stop of an earlier or later process of the same entry.

        Seed 15 of the soak: a process was stopped while it started, and the one before had bytes to send.
        """
        stops = (Stop("e", 80.0, 85.0), STOP, Stop("e", 105.95, 105.96))
        request = cut_request(ended_at=106.0)
        run = cut_run(work_ended_at=105.5)
        self.assertEqual([], lost_ids(request, run, stops=stops))
        self.assertEqual(["q"], lost_ids(request, cut_run(), stops=stops))

    def test_end_that_a_caller_sees_late_counts_to_the_stop(self):
        """Guards against a part of an answer that is read slowly, long after the end of the process.

        Seed 102 of the soak, in a trial: the caller saw the end 3.4 s after the process was gone.
        """
        request = answered_request(is_complete=False, ended_at=109.5)
        run = cut_run(work_ended_at=99.1, is_cut_off=False)
        (item,) = find_lost([STOP], [request], [run], GRACE_S)
        self.assertIn("times after SIGTERM", item.text)

    def test_description_names_the_times_after_sigterm(self):
        """Guards against a report from which a loss cannot be traced."""
        (item,) = find_lost([STOP], [cut_request()], [cut_run()], GRACE_S)
        self.assertIn("opened -10.00, sent -1.00, ended 4.80, time limit 10.00, process gone 5.90", item.text)
        self.assertIn("run on t -1.00 to 4.80 (cut off)", item.text)
