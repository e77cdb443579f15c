"""Reads the requests of callers, and answers those that are not to be dispatched."""

import asyncio
import math
from collections.abc import Awaitable, Callable

from cranberrylever.answer_memory import FULL_RETRY_AFTER_S, AnswerMemory
from cranberrylever.caller_http import end_to_end_headers
from cranberrylever.customers import RevocationGuard, read_key_digest, unknown_key_error
from cranberrylever.errors import UnauthorizedError
from cranberrylever.route_entry._answered import AnsweredError
from cranberrylever.route_entry._body import BodyReader
from cranberrylever.route_entry._dispatcher import Dispatcher
from cranberrylever.route_entry._format import AUTHORIZATION, HeaderFormat, Headers
from cranberrylever.route_entry._key_check import VIEW_UNCONFIRMED_REASON, VIEW_UNCONFIRMED_RETRY_AFTER_S
from cranberrylever.route_entry._peer_relay import CANNOT_SERVE_STATUS
from cranberrylever.route_entry._reachability import TargetReachability
from cranberrylever.route_entry._request import RoutedRequest
from cranberrylever.route_entry._request_log import RequestRecord, StopTimes
from cranberrylever.route_entry._view import EntryView
from cranberrylever.route_plan import Customer, Route

Receive = Callable[[], Awaitable[dict]]

MAX_CONCURRENT_REQUESTS = 2_000
"""Limit on requests in progress; with more of them an entry would run out of memory before it answers."""

TOO_MANY_REQUESTS_RETRY_AFTER_S = 0.2
"""Delay after which a caller may retry when too many requests are in progress."""

MAX_VIEW_AGE_S = 2.0
"""Age of the view from which requests are refused while a leader exists, which may have changed it."""

OUTDATED_VIEW_RETRY_AFTER_S = 0.3

NO_VIEW_RETRY_AFTER_S = 0.5
"""Delay after which a caller may retry when the entry has not received a view."""

FIRST_VIEW_TIMEOUT_S = 1.5
"""Time after an entry's start for which requests wait for the first view.

Control sends it within this time when all processes start together.
"""

FIRST_VIEW_WAIT_SHARE = 0.4
"""Share of its time limit that a request waits for the first view; the rest is needed to serve it."""

CALLER_RETRY_SHARE = 0.93
"""A request with less than this share of its route's timeout left counts as a retry of the caller."""

RELAYED = "cranberrylever.relayed"
"""Key in the scope of a request that another entry has passed on."""


class RequestReader:
    """Reads requests by the view in force.

    Args:
        view: The view in force.
        dispatcher: Knows the expected service times.
        header_format: Reads headers.
        reachability: Links of this entry to the targets.
        knows_leader: Returns whether a member has named a leader shortly before a loop time.
        memory: Limit on the memory of answers.
        bodies: Reads the bodies of requests.
        stop: Times of the stop.
        revocation: Bound on the age of the view for requests with an API key.
    """

    def __init__(
        self,
        view: EntryView,
        dispatcher: Dispatcher,
        header_format: HeaderFormat,
        reachability: TargetReachability,
        knows_leader: Callable[[float], bool],
        memory: AnswerMemory,
        bodies: BodyReader,
        stop: StopTimes,
        revocation: RevocationGuard,
    ) -> None:
        self.view = view
        self.dispatcher = dispatcher
        self.format = header_format
        self.reachability = reachability
        self.knows_leader = knows_leader
        self.memory = memory
        self.bodies = bodies
        self.stop = stop
        self.revocation = revocation
        self.started_at = asyncio.get_running_loop().time()

    def is_view_outdated(self, now: float) -> bool:
        """Return whether control may have changed the view without this entry knowing.

        While no leader exists or control cannot be reached, the last view stays in force.
        """
        return now - self.view.confirmed_at > MAX_VIEW_AGE_S and self.knows_leader(now)

    async def read(
        self, scope: dict, receive: Receive, record: RequestRecord, requests: int
    ) -> RoutedRequest | None:
        """Return a complete request, ``None`` when its caller disconnects.

        Args:
            scope: Connection scope of the request.
            receive: Returns the next part of its body.
            record: Data for its log line.
            requests: Requests in progress at this entry, with this one.

        Raises:
            AnsweredError: The entry answers itself.
        """
        now = record.started_at
        headers: Headers = scope["headers"]
        caller_headers = self.format.read_call(headers)
        is_relayed = scope.get(RELAYED, False)
        await self._check_entry(now, caller_headers.deadline, is_relayed, requests)
        matcher = self.view.matcher
        route = self._find_route(scope, record)
        digest, customer = self._authenticate(headers, route, record)
        self._refuse_if_too_late(route.name)
        deadline = self._deadline(now, route, caller_headers.deadline)
        body = await self._read_body(record, receive, deadline)
        if body is None:
            return None
        if body:
            # It may have come slowly, so the view and the times of the stop may have changed meanwhile.
            self._refuse_if_view_outdated(asyncio.get_running_loop().time())
        if self.view.matcher is not matcher:
            matcher = self.view.matcher
            route = self._find_route(scope, record)
            digest, customer = self._authenticate(headers, route, record)
        self._refuse_if_too_late(route.name)
        service = matcher.services[matcher.choose(route)]
        if service.keyed and caller_headers.key is None:
            raise AnsweredError(
                400, "invalid", "the key header, which the service requires, is missing or invalid"
            )
        query = scope["query_string"]
        return RoutedRequest(
            request_id=caller_headers.request_id,
            method=scope["method"].encode(),
            url=scope["raw_path"] + (b"?" + query if query else b""),
            headers=end_to_end_headers(headers),
            body=body,
            route=route,
            service=service,
            key=caller_headers.key if service.keyed else None,
            arrived_at=now,
            deadline=self._deadline(now, route, caller_headers.deadline),
            is_caller_retry=_time_limit(route, caller_headers.deadline) < CALLER_RETRY_SHARE * route.timeout,
            is_relayed=is_relayed,
            customer=record.customer,
            key_digest=digest,
            customer_priority=customer.priority if customer is not None else None,
        )

    async def _check_entry(
        self, now: float, time_left: float | None, is_relayed: bool, requests: int
    ) -> None:
        """Refuse a request that this entry cannot serve at present, whatever its route."""
        if now >= self.stop.accepts_until:
            raise AnsweredError(503, "refused", "this entry accepts no more requests", 0.0)
        if is_relayed and self.reachability.is_lost:
            raise AnsweredError(CANNOT_SERVE_STATUS, "refused", "this entry reaches no target either")
        await self._wait_for_first_view(now, time_left)
        self._refuse_if_view_outdated(now)
        if requests > MAX_CONCURRENT_REQUESTS:
            raise AnsweredError(
                503, "refused", "too many requests in progress at this entry", TOO_MANY_REQUESTS_RETRY_AFTER_S
            )
        if self.memory.is_full(requests):
            raise AnsweredError(503, "refused", self.memory.refusal(), FULL_RETRY_AFTER_S)

    def _find_route(self, scope: dict, record: RequestRecord) -> Route:
        """Return the route of a request in the view in force."""
        host = next((value for name, value in scope["headers"] if name == b"host"), b"")
        route = self.view.matcher.match(host.decode("latin-1"), scope["raw_path"].decode("latin-1"))
        if route is None:
            raise AnsweredError(404, "invalid", "no route matches the host and path")
        record.route = route.name
        return route

    def _deadline(self, arrived_at: float, route: Route, time_left: float | None) -> float:
        """Return the loop time until which a request may take."""
        return min(arrived_at + _time_limit(route, time_left), self.stop.stops_at)

    def _refuse_if_view_outdated(self, now: float) -> None:
        if self.is_view_outdated(now):
            raise AnsweredError(
                503, "refused", "this entry gets no changes of its routes", OUTDATED_VIEW_RETRY_AFTER_S
            )

    def _authenticate(
        self, headers: Headers, route: Route, record: RequestRecord
    ) -> tuple[str, Customer | None]:
        """Return the digest of a request's API key and its customer; none where no key is needed.

        A key on a public route is not read, so that an old one does no harm there.
        """
        record.customer = ""
        if self.view.customers.is_empty or route.public:
            return "", None
        try:
            digest = read_key_digest([value for name, value in headers if name == AUTHORIZATION])
        except UnauthorizedError as error:
            raise AnsweredError(401, "unauthorized", str(error)) from None
        if not self.revocation.is_confirmed(self.view.confirmed_at, asyncio.get_running_loop().time()):
            raise AnsweredError(503, "refused", VIEW_UNCONFIRMED_REASON, VIEW_UNCONFIRMED_RETRY_AFTER_S)
        customer = self.view.customers.find(digest)
        if customer is None:
            raise AnsweredError(401, "unauthorized", str(unknown_key_error()))
        record.customer = customer.name
        return digest, customer

    def _refuse_if_too_late(self, route: str) -> None:
        """Refuse a request whose answer is not expected before this entry stops."""
        if self.stop.began_at == math.inf:
            return
        answer_expected_at = asyncio.get_running_loop().time() + self.dispatcher.service_times.expected(route)
        if answer_expected_at > self.stop.stops_at:
            raise AnsweredError(503, "refused", "this entry stops before an answer is expected", 0.0)

    async def _wait_for_first_view(self, arrived_at: float, deadline: float | None) -> None:
        """Wait for the first view shortly after the start; refuse the request if there is none by then."""
        view_expected_at = self.started_at + FIRST_VIEW_TIMEOUT_S
        wait_until = min(view_expected_at, arrived_at + FIRST_VIEW_WAIT_SHARE * (deadline or 0.0))
        now = arrived_at
        while not self.view.is_complete and now < wait_until:
            await self.view.changed.wait(wait_until - now)
            now = asyncio.get_running_loop().time()
        if not self.view.is_complete:
            raise AnsweredError(
                503, "refused", "this entry has not received its routes yet", NO_VIEW_RETRY_AFTER_S
            )

    async def _read_body(self, record: RequestRecord, receive: Receive, deadline: float) -> bytes | None:
        """Return the complete body, ``None`` when the caller disconnects."""
        record.body = self.bodies.start(record.headers, self.dispatcher.service_times.expected(record.route))
        if record.body is None:
            return b""
        return await record.body.run(receive, deadline, self.view.matcher.plan.limits.max_body_bytes)


def _time_limit(route: Route, time_left: float | None) -> float:
    """Return the seconds that a request may take: what its caller has left, the timeout of its route."""
    return route.timeout if time_left is None else min(route.timeout, time_left)
