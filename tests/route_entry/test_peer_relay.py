"""Tests of requests that are passed on to other entries: what has run, and what is sent once more."""

import asyncio

import attrs
import testtools

from cranberrylever.logs import Log
from cranberrylever.route_entry._default_format import DONE, OUTCOME, DefaultHeaderFormat
from cranberrylever.route_entry._peer_relay import CANNOT_SERVE_STATUS, PeerRelay
from cranberrylever.route_entry._reachability import TargetReachability
from cranberrylever.route_entry._request import OutcomeUnknownError, RefusedError
from cranberrylever.target_http import AnswerLostError, NotSentError, TargetAnswer
from tests.route_entry.test_dispatcher import ROUTE, keyed_request
from tests.support import run_in_simulated_time

SERVED = TargetAnswer(200, [(OUTCOME, DONE)], b"x")
REFUSED = TargetAnswer(503, [(b"retry-after", b"0.7")])


class FakePeers:
    """Fake pool whose peers give the next of ``outcomes``: an answer, an error or ``None`` for silence."""

    def __init__(self, *outcomes):
        self.outcomes = list(outcomes)
        self.sent = []

    async def exchange(self, address, method, request_bytes, is_idempotent=False, before_send=None):
        self.sent.append((address, request_bytes))
        outcome = self.outcomes.pop(0)
        if outcome is None:
            await asyncio.sleep(60)
        if isinstance(outcome, Exception):
            raise outcome
        return outcome

    def close_idle(self, address):
        pass


def once_only_request():
    request = keyed_request()
    request.route = attrs.evolve(ROUTE, idempotent=False)
    request.deadline = 5.0
    return request


class PeerRelayTest(testtools.TestCase):
    def relay_request(self, *outcomes, seconds=60.0, request=None):
        """Pass on one request; return the request, the peers it was sent to and the result or error."""

        async def scenario():
            reachability = TargetReachability(lambda: 20, lambda: None, Log("entry", "e", "error"))
            reachability.lost_at = 0.0
            relay = PeerRelay(DefaultHeaderFormat(), reachability)
            relay.set_peers(("a:1", "b:1", "c:1"), 0.0)
            relay.pool = FakePeers(*outcomes)
            passed_on = request or once_only_request()
            assert relay.is_needed(passed_on)
            try:
                async with asyncio.timeout(seconds):
                    result = await relay.run(passed_on)
            except (RefusedError, OutcomeUnknownError, TimeoutError) as error:
                result = error
            return passed_on, relay, result

        passed_on, relay, result = run_in_simulated_time(scenario)
        return passed_on, relay.pool.sent, result, relay

    def test_answer_of_the_target_is_returned(self):
        """Guards against an answer that is lost or changed on the longer way."""
        request, sent, result, _ = self.relay_request(SERVED)
        assert result.answer is SERVED
        assert len(sent) == 1
        assert request.may_have_run

    def test_other_entry_gets_less_time_than_the_caller_waits(self):
        """Guards against an answer of the other entry that comes after this one has given up."""
        _, sent, _, _ = self.relay_request(SERVED)
        assert b"cranberrylever-deadline-ms: 4970" in sent[0][1]

    def test_refusal_of_the_other_entry_is_a_refusal(self):
        """Guards against an unknown outcome for a request that has not run."""
        request, sent, error, _ = self.relay_request(REFUSED)
        assert isinstance(error, RefusedError)
        assert error.retry_after == 0.7
        assert not request.may_have_run
        assert len(sent) == 1

    def test_request_with_unknown_outcome_is_not_sent_to_a_second_entry(self):
        """Guards against a request that runs at two entries' targets."""
        for outcome in (AnswerLostError("closed"), TargetAnswer(502, []), TargetAnswer(504, [])):
            request, sent, error, _ = self.relay_request(outcome)
            assert isinstance(error, OutcomeUnknownError), error
            assert request.may_have_run
            assert len(sent) == 1

    def test_request_that_was_not_taken_goes_to_another_entry(self):
        """Guards against a refusal because one other entry is down or reaches no target either."""
        for outcome in (NotSentError("down"), TargetAnswer(CANNOT_SERVE_STATUS, [])):
            request, sent, result, relay = self.relay_request(outcome, SERVED)
            assert result.answer is SERVED
            assert sent[0][0] != sent[1][0]
            assert sent[0][0] not in relay.addresses

    def test_request_is_refused_when_no_entry_takes_it(self):
        """Guards against an unknown outcome, or a long wait, when all entries have lost their links."""
        request, sent, error, _ = self.relay_request(*[NotSentError("down")] * 3)
        assert isinstance(error, RefusedError)
        assert not request.may_have_run
        assert len(sent) == 3

    def test_request_that_waits_at_another_entry_may_have_run(self):
        """Guards against a refusal, which promises that nothing ran, when the other entry is silent."""
        request, _, error, _ = self.relay_request(None, seconds=1.0)
        assert isinstance(error, TimeoutError)
        assert request.may_have_run

    def test_request_is_passed_on_once_only(self):
        """Guards against requests that circle between entries, and against ones that run twice."""
        _, _, _, relay = self.relay_request(SERVED)
        relayed = once_only_request()
        relayed.is_relayed = True
        assert not relay.is_needed(relayed)
        maybe_run = once_only_request()
        maybe_run.record_attempt("t", may_have_run=True)
        assert not relay.is_needed(maybe_run)
