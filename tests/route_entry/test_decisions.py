"""Replays of loads through the estimates and the admission of requests."""

import random

import testtools

from cranberrylever.route_entry import LoadSample
from cranberrylever.route_entry._admission import AdmissionRequest, Verdict, admit
from cranberrylever.route_entry._estimates import ServiceTimeEstimator, TargetLoadEstimate


class AdmissionTest(testtools.TestCase):
    def test_idle_target_gets_the_request(self):
        """Guards against refusals while there is room."""
        assert admit(AdmissionRequest(2, 0.3, 0.8, 0.0, 0.1)).verdict is Verdict.SEND

    def test_long_work_without_a_queue_is_sent(self):
        """Guards against refusing what only takes long by itself."""
        assert admit(AdmissionRequest(2, 0.3, 0.2, 0.0, 0.3)).verdict is Verdict.SEND

    def test_full_target_refuses_the_less_urgent_first(self):
        """Guards against urgent requests that wait behind less urgent ones."""
        assert admit(AdmissionRequest(2, 0.3, 0.8, 0.4, 0.5)).verdict is Verdict.REFUSE
        assert admit(AdmissionRequest(0, 0.3, 0.8, 0.4, 0.5)).verdict is Verdict.SEND

    def test_returned_request_finds_room_before_a_new_one(self):
        """Guards against callers that come back as told and are turned away again."""
        assert admit(AdmissionRequest(2, 0.3, 0.8, 0.3, 0.4)).verdict is Verdict.REFUSE
        assert admit(AdmissionRequest(2, 0.3, 0.6, 0.3, 0.4, is_caller_retry=True)).verdict is Verdict.SEND

    def test_refusal_names_the_time_at_which_room_is_expected(self):
        """Guards against callers that all come back at once and are refused again."""
        admission = admit(AdmissionRequest(2, 0.3, 0.8, 0.9, 1.0))
        assert 0.3 < admission.delay <= 0.9

    def test_cold_target_is_waited_for_when_there_is_time(self):
        """Guards against a cold target that gets more than it bears, and against needless refusals."""
        assert admit(AdmissionRequest(1, 0.3, 1.0, 0.0, 0.1, cold_delay=0.2)).verdict is Verdict.WAIT
        assert admit(AdmissionRequest(1, 0.3, 1.0, 0.0, 0.1, cold_delay=3.0)).verdict is Verdict.REFUSE

    def test_no_time_left_is_refused_at_once(self):
        """Guards against work that nobody waits for."""
        assert admit(AdmissionRequest(0, 0.3, 0.0, 0.0, 0.1)).verdict is Verdict.REFUSE


class EstimateTest(testtools.TestCase):
    def test_own_requests_count_at_once(self):
        """Guards against a burst of one entry that all goes to one target."""
        estimate = TargetLoadEstimate(3)
        for _ in range(6):
            estimate.record_start(1.0)
        assert estimate.queue_time(0.1, 1.0) > 0.1

    def test_slow_machine_shows_and_fades(self):
        """Guards against a straggler of a moment that stays avoided, or is not avoided."""
        estimate = TargetLoadEstimate(3)
        estimate.record_load(LoadSample(1, 0, 3, 3.0), 1.0)
        assert estimate.completion_time(0.1, 1.0) > 0.25
        assert estimate.completion_time(0.1, 5.0) < 0.12

    def test_load_of_other_entries_is_expected_without_a_report(self):
        """Guards against eight entries that each take a full target for idle."""
        alone, shared = TargetLoadEstimate(3), TargetLoadEstimate(3, entries=8)
        for estimate in (alone, shared):
            for step in range(40):
                estimate.record_start(step * 0.1)
                estimate.record_end(step * 0.1 + 0.09)
        assert shared.queue_time(0.1, 4.0) > alone.queue_time(0.1, 4.0)

    def test_many_entries_do_not_take_a_half_idle_target_for_full(self):
        """Replay of 71 entries that send a target ten requests a second in all, of which one runs at a time.

        An entry's own average times their number makes the target look full after each request.
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
        """Guards against a target that looks full because of one request that an entry once sent."""
        estimate = TargetLoadEstimate(3, entries=71)
        estimate.record_start(0.0)
        estimate.record_end(0.5)
        assert estimate.queue_time(0.1, 10.0) == 0.0

    def test_choice_by_estimate_beats_taking_turns_under_stragglers(self):
        """Replay of a pool in which one machine in five is three times slower for 0.4 s."""

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
                slot = min(range(3), key=lambda place: free_at[target][place])
                work = rng.lognormvariate(-2.9, 0.5) * (3.0 if now < slow_until[target] else 1.0)
                begin = max(now, free_at[target][slot])
                free_at[target][slot] = begin + work
                estimates[target].record_start(now)
                ends.append((begin + work, target))
                late += begin + work - now > 0.2
            return late

        def in_turn(number, estimates, now):
            return number % 6

        def by_estimate(number, estimates, now):
            return min(range(6), key=lambda target: estimates[target].completion_time(0.06, now))

        naive = sum(replay(in_turn, seed) for seed in range(3))
        estimated = sum(replay(by_estimate, seed) for seed in range(3))
        assert estimated < 0.75 * naive, (estimated, naive)

    def test_usual_work_follows(self):
        """Guards against a first guess that stays."""
        service_times = ServiceTimeEstimator()
        for _ in range(300):
            service_times.record("r", 0.3)
        assert 0.28 < service_times.expected("r") < 0.31
