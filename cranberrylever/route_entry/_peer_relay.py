"""Passes requests on to other entries while this entry reaches no target.

The other entry serves such a request like one of its own caller: with its view, its permits and its budget
for retries. It never passes it on again. This entry does not send it to a second entry unless the first
certainly did not run it.

It takes nobody's word for who sends a request: the API key goes with it, and the other entry authenticates it
by its own view, so that a caller at the address for passed-on requests cannot choose its customer.
"""

import asyncio
import collections
import random
from collections.abc import Callable, Iterator

from cranberrylever.answer_memory import AnswerMemory
from cranberrylever.route_entry._format import HeaderFormat, parse_rate
from cranberrylever.route_entry._reachability import TargetReachability
from cranberrylever.route_entry._request import (
    AttemptResult,
    OutcomeUnknownError,
    RefusedError,
    RoutedRequest,
)
from cranberrylever.target_http import AnswerLostError, NotSentError, TargetAnswer, TargetPool

MAX_PEERS_TRIED = 3
"""Entries to which one request is offered."""

ANSWER_MARGIN_S = 0.03
"""Time before this entry's limit at which the other entry ends a request, so that its answer arrives."""

RETRY_AFTER_S = 0.3
"""Time after which a caller may retry when no other entry takes its request."""

PEER_REFRESH_INTERVAL_S = 5.0
"""Interval at which an entry asks control for other entries while it reaches targets."""

MAX_IDLE_CONNECTIONS = 16
"""Limit on idle connections to one entry."""

CANNOT_SERVE_STATUS = 421
"""Status of an entry that reaches no target itself; the request has not run."""

_REFUSED_STATUS_CODES = frozenset({400, 401, 404, 408, 413, 429, 503})


class PeerRelay:
    """Sends requests to other entries.

    Args:
        header_format: Reads and writes headers.
        reachability: Links of this entry to the targets.
    """

    def __init__(
        self,
        header_format: HeaderFormat,
        reachability: TargetReachability,
        memory: AnswerMemory | None = None,
    ) -> None:
        self.format = header_format
        self.reachability = reachability
        self.pool = TargetPool(max_idle_connections=MAX_IDLE_CONNECTIONS, memory=memory)
        self.addresses: tuple[str, ...] = ()
        self.refresh_at = 0.0
        self.outstanding: collections.Counter[str] = collections.Counter()
        self.rng = random.Random()

    def wants_peers(self, now: float) -> bool:
        """Return whether control should name other entries in its next reply."""
        return self.reachability.is_lost or now >= self.refresh_at

    def set_peers(self, addresses: tuple[str, ...], now: float) -> None:
        """Set the addresses of entries that reach targets."""
        self.addresses = addresses
        self.refresh_at = now + PEER_REFRESH_INTERVAL_S

    def is_needed(self, request: RoutedRequest) -> bool:
        """Return whether a request should be sent to another entry, which must not run it a second time."""
        return (
            self.reachability.is_lost
            and bool(self.addresses)
            and not request.is_relayed
            and (request.route.idempotent or not request.may_have_run)
        )

    async def run(
        self, request: RoutedRequest, before_send: Callable[[], None] | None = None
    ) -> AttemptResult:
        """Send a request to another entry and return the target's answer.

        ``before_send`` is called before each send; it raises one of the errors below if there may be none.

        Raises:
            RefusedError: The request has not run and will not run.
            OutcomeUnknownError: It may have run and there is no answer.
        """
        request.is_passed_on = not request.may_have_run
        for address in self._candidates():
            try:
                answer, is_genuine = await self._exchange(request, address, before_send)
            except NotSentError as error:
                self._drop(address)
                request.reason = str(error)
                continue
            except AnswerLostError as error:
                self._drop(address)
                raise OutcomeUnknownError(f"entry {address}: {error}") from error
            if answer.status != CANNOT_SERVE_STATUS:
                return self._read_answer(request, address, answer, is_genuine)
            self._drop(address)
        if request.may_have_run:
            raise OutcomeUnknownError(request.reason)
        raise RefusedError("this entry reaches no target and no other entry takes requests", RETRY_AFTER_S)

    def close(self) -> None:
        """Close all idle connections."""
        self.pool.close()

    def _candidates(self) -> Iterator[str]:
        """Yield the less busy one of two random entries, a few times."""
        tried: set[str] = set()
        for _ in range(MAX_PEERS_TRIED):
            untried = [address for address in self.addresses if address not in tried]
            if not untried:
                return
            pair = self.rng.sample(untried, min(2, len(untried)))
            address = min(pair, key=lambda item: self.outstanding[item])
            tried.add(address)
            yield address

    async def _exchange(
        self, request: RoutedRequest, address: str, before_send: Callable[[], None] | None
    ) -> tuple[TargetAnswer, bool]:
        """Return the other entry's answer and whether it is a result of a target."""
        now = asyncio.get_running_loop().time()
        remaining = request.remaining(now) - ANSWER_MARGIN_S
        request_bytes = request.encode(self.format.peer_headers(request.headers, remaining))
        may_have_run = True
        self.outstanding[address] += 1
        try:
            answer = await self.pool.exchange(
                address,
                request.method,
                request_bytes,
                is_idempotent=request.route.idempotent,
                before_send=before_send,
            )
            is_genuine = self.format.read_answer(answer.status, answer.headers).is_genuine
            may_have_run = is_genuine or answer.status not in (*_REFUSED_STATUS_CODES, CANNOT_SERVE_STATUS)
        except (NotSentError, RefusedError, OutcomeUnknownError):
            may_have_run = False
            raise
        finally:
            self.outstanding[address] -= 1
            request.record_attempt(address, may_have_run)
        return answer, is_genuine

    def _read_answer(
        self, request: RoutedRequest, address: str, answer: TargetAnswer, is_genuine: bool
    ) -> AttemptResult:
        request.reason = f"{answer.status} of entry {address}"
        if is_genuine:
            return AttemptResult(answer, address)
        if answer.status in _REFUSED_STATUS_CODES and not request.may_have_run:
            raise RefusedError(request.reason, _retry_after(answer))
        raise OutcomeUnknownError(request.reason)

    def _drop(self, address: str) -> None:
        """Send nothing more to an entry until control names it again."""
        self.addresses = tuple(item for item in self.addresses if item != address)
        self.pool.close_idle(address)


def _retry_after(answer: TargetAnswer) -> float:
    seconds = parse_rate(answer.header(b"retry-after"))
    return seconds if seconds is not None else RETRY_AFTER_S
