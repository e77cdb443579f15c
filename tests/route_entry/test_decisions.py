"""Tests of load estimates and admission control, some as simulations."""

import random

import testtools

from cranberrylever.route_entry import LoadSample
from cranberrylever.route_entry._admission import AdmissionRequest, Verdict, admit
from cranberrylever.route_entry._estimates import ServiceTimeEstimator, TargetLoadEstimate


class AdmissionTest(testtools.TestCase):
    def test_idle_target_gets_the_request(self):
        """Guards against refusals while the target has free capacity."""
        assert admit(AdmissionRequest(2, 0.3, 0.8, 0.0, 0.1)).verdict is Verdict.SEND

    def test_long_work_without_a_queue_is_sent(self):
        """Guards against refusing a request only because its own service time is long."""
        assert admit(AdmissionRequest(2, 0.3, 0.2, 0.0, 0.3)).verdict is Verdict.SEND

    def test_full_target_refuses_the_less_urgent_first(self):
        """Guards against requests of high priority that wait behind those of low priority."""
        assert admit(AdmissionRequest(2, 0.3, 0.8, 0.4, 0.5)).verdict is Verdict.REFUSE
        assert admit(AdmissionRequest(0, 0.3, 0.8, 0.4, 0.5)).verdict is Verdict.SEND

    def test_caller_retry_is_admitted_before_new_request(self):
        """Guards against callers that retry after the given delay and are refused again."""
        assert admit(AdmissionRequest(2, 0.3, 0.8, 0.3, 0.4)).verdict is Verdict.REFUSE
        assert admit(AdmissionRequest(2, 0.3, 0.6, 0.3, 0.4, is_caller_retry=True)).verdict is Verdict.SEND

    def test_refusal_has_delay_until_expected_capacity(self):
        """Guards against callers that all retry at once and are refused again."""
        admission = admit(AdmissionRequest(2, 0.3, 0.8, 0.9, 1.0))
        assert 0.3 < admission.delay <= 0.9

    def test_request_waits_for_cold_target_if_time_suffices(self):
        """Guards against overload of a cold target, and against needless refusals."""
        assert admit(AdmissionRequest(1, 0.3, 1.0, 0.0, 0.1, permit_delay=0.2)).verdict is Verdict.WAIT
        assert admit(AdmissionRequest(1, 0.3, 1.0, 0.0, 0.1, permit_delay=3.0)).verdict is Verdict.REFUSE

    def test_no_time_left_is_refused_at_once(self):
        """Guards against running a request that its caller has given up."""
        assert admit(AdmissionRequest(0, 0.3, 0.0, 0.0, 0.1)).verdict is Verdict.REFUSE

    def test_objective_that_cannot_be_met_does_not_refuse_a_request(self):
        """Guards against callers who get no answer at all because it would be late at any target."""
        request = AdmissionRequest(2, 0.3, 5.0, 0.05, 1.05, service_time=1.0)
        assert admit(request).verdict is Verdict.SEND

    def test_request_that_can_meet_its_objective_goes_before_one_that_cannot(self):
        """Guards against late requests that fill the queue of those that could be answered in time."""
        in_time = AdmissionRequest(2, 1.0, 5.0, 0.4, 0.5, service_time=0.1)
        late = AdmissionRequest(2, 1.0, 5.0, 0.4, 2.4, service_time=2.0)
        assert admit(in_time).verdict is Verdict.SEND
        assert admit(late).verdict is Verdict.REFUSE

    def test_late_request_must_end_before_the_deadline(self):
        """Guards against work for callers that will have left."""
        assert admit(AdmissionRequest(2, 0.3, 1.0, 0.05, 1.05, service_time=1.0)).verdict is Verdict.REFUSE


class EstimateTest(testtools.TestCase):
    def test_own_requests_count_at_once(self):
        """Guards against an entry that sends a whole burst to one target between load reports."""
        estimate = TargetLoadEstimate(3)
        for _ in range(6):
            estimate.record_start(1.0)
        assert estimate.queue_time(0.1, 1.0) > 0.1

    def test_reported_slowdown_counts_and_decays(self):
        """Guards against a briefly slow target that is not avoided, or that is avoided for too long."""
        estimate = TargetLoadEstimate(3)
        estimate.record_load(LoadSample(1, 0, 3, 3.0), 1.0)
        assert estimate.completion_time(0.1, 1.0) > 0.25
        assert estimate.completion_time(0.1, 5.0) < 0.12

    def test_load_of_other_entries_is_expected_without_a_report(self):
        """Guards against eight entries that each estimate a full target as idle."""
        alone, shared = TargetLoadEstimate(3), TargetLoadEstimate(3, entries=8)
        for estimate in (alone, shared):
            for step in range(40):
                estimate.record_start(step * 0.1)
                estimate.record_end(step * 0.1 + 0.09)
        assert shared.queue_time(0.1, 4.0) > alone.queue_time(0.1, 4.0)

    def test_many_entries_do_not_take_a_half_idle_target_for_full(self):
        """Simulates 71 entries that together send a target ten requests per second, about one at a time.

        Guards against an estimate of an entry's own average times the number of entries, at which the target
        appears full after each request.
        """

        def replay(reported_busy, seed):
            rng = random.Random(seed)
            estimates = [TargetLoadEstimate(3, entries=71, reported_busy=reported_busy) for _ in range(71)]
            ends, refused, naive, now = [], 0, 0, 0.0
            for _ in range(3_000):
                now += rng.expovariate(10)
                for end, entry in [item for item in ends if item[0] <= now]:
                    estimates[entry].record_end(end)
                ends = [item for item in ends if item[0] > now]
                entry = rng.randrange(71)
                estimate = estimates[entry]
                refused += estimate.queue_time(0.1, now) > 0.05
                naive += estimate.outstanding + 70 * estimate.average_outstanding + 1 > 3 + 1.5
                estimate.record_start(now)
                ends.append((now + 0.1, entry))
            return refused, naive

        refused, naive = replay(1.0, 1)
        assert naive > 100
        assert refused < 0.3 * naive, (refused, naive)

    def test_work_of_long_ago_does_not_count(self):
        """Guards against a target that appears full because of one request long before."""
        estimate = TargetLoadEstimate(3, entries=71)
        estimate.record_start(0.0)
        estimate.record_end(0.5)
        assert estimate.queue_time(0.1, 10.0) == 0.0

    def test_choice_by_estimate_beats_taking_turns_under_stragglers(self):
        """Simulates six targets, each of which becomes three times slower for 0.4 s at random times.

        A target is slow for about a tenth of the time. Guards against a choice of targets that ignores the
        reported slowdown.
        """

        def replay(choose, seed):
            rng = random.Random(seed)
            free_at = [[0.0] * 3 for _ in range(6)]
            estimates = [TargetLoadEstimate(3) for _ in range(6)]
            slow_until = [0.0] * 6
            ends, late, now = [], 0, 0.0
            for number in range(4_000):
                now += rng.expovariate(70)
                for target in range(6):
                    if now > slow_until[target] and rng.random() < 0.004:
                        slow_until[target] = now + 0.4
                for _end, target in [item for item in ends if item[0] <= now]:
                    slowdown = 3.0 if now < slow_until[target] else 1.0
                    estimates[target].record_load(
                        LoadSample(sum(at > now for at in free_at[target]), 0, 3, slowdown), now
                    )
                    estimates[target].record_end(now)
                ends = [item for item in ends if item[0] > now]
                target = choose(number, estimates, now)
                slot = min(range(3), key=lambda slot_number: free_at[target][slot_number])
                work = rng.lognormvariate(-2.9, 0.5) * (3.0 if now < slow_until[target] else 1.0)
                begin = max(now, free_at[target][slot])
                free_at[target][slot] = begin + work
                estimates[target].record_start(now)
                ends.append((begin + work, target))
                late += begin + work - now > 0.2
            return late

        def round_robin(number, estimates, now):
            return number % 6

        def by_estimate(number, estimates, now):
            return min(range(6), key=lambda target: estimates[target].completion_time(0.06, now))

        naive = sum(replay(round_robin, seed) for seed in range(3))
        estimated = sum(replay(by_estimate, seed) for seed in range(3))
        assert estimated < 0.75 * naive, (estimated, naive)

    def test_service_time_estimate_converges(self):
        """Guards against an estimate that stays at its initial value."""
        service_times = ServiceTimeEstimator()
        for _ in range(300):
            service_times.record("r", 0.3)
        assert 0.28 < service_times.expected("r") < 0.31
