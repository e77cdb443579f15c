"""Tests of the slots, queue, cold state and load reports of a target."""

import testtools

from cranberrylever.target._admission import Admission, Decision
from cranberrylever.target._load import LoadHistory


class AdmissionTest(testtools.TestCase):
    def test_queue_accepts_requests_beyond_the_slots(self):
        """Guards against work accepted beyond slots and queue, and a freed slot that stays unused."""
        admission = Admission(slots=1, queue_limit=1, cold_capacity=1, warmup_requests=1)
        decisions = [admission.arrive() for _ in range(3)]
        self.assertEqual([Decision.RUN, Decision.QUEUE, Decision.SHED], decisions)
        admission.finish(completed=True)
        self.assertTrue(admission.can_start_queued())
        admission.start_queued()
        self.assertFalse(admission.can_start_queued())
        self.assertEqual(
            (1, 0, 2, 0), (admission.running, admission.queued, admission.most_work, admission.overloads)
        )

    def test_cold_target_counts_work_beyond_its_capacity(self):
        """Guards against a cold_peak that is too low because shed work is not counted as offered."""
        admission = Admission(slots=3, queue_limit=9, cold_capacity=1, warmup_requests=2, cold=True)
        self.assertEqual([Decision.RUN, Decision.SHED], [admission.arrive(), admission.arrive()])
        self.assertEqual((1, 2), (admission.overloads, admission.cold_peak))

    def test_cold_start_ends_after_completed_requests_only(self):
        """Guards against cancelled requests that count towards the end of the cold state."""
        admission = Admission(slots=3, queue_limit=9, cold_capacity=1, warmup_requests=1, cold=True)
        admission.arrive()
        admission.finish(completed=False)
        self.assertTrue(admission.cold)
        admission.arrive()
        admission.finish(completed=True)
        self.assertFalse(admission.cold)
        admission.become_cold()
        self.assertTrue(admission.cold)


class LoadHistoryTest(testtools.TestCase):
    def test_report_is_as_old_as_its_lag(self):
        """Guards against a report without lag, which would hide how routing handles late reports."""
        history = LoadHistory(lag=2.0)
        history.record(1, 0, now=10.0)
        history.record(3, 4, now=11.0)
        self.assertEqual(0, history.report(11.0).running)
        self.assertEqual(1, history.report(12.5).running)
        self.assertEqual((3, 4), (history.report(13.0).running, history.report(13.0).queued))
