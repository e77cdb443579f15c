"""A caller's request on a route and its possible outcomes."""

import hashlib
from typing import NoReturn

import attrs

from cranberrylever.route_entry._estimates import DispatchEstimate
from cranberrylever.route_entry._format import Headers
from cranberrylever.route_plan import Route, RoutedService
from cranberrylever.target_http import TargetAnswer

METHODS_WITHOUT_BODY = frozenset({b"GET", b"HEAD", b"DELETE", b"OPTIONS"})
"""Methods whose requests state no length when they have no body."""


@attrs.define(eq=False)
class RoutedRequest:
    """A request as read from its caller; times are loop times in seconds.

    ``send_count`` counts how often it was sent to a target and ``attempts`` how often it may have run;
    ``may_have_run`` reports whether there was such an attempt. ``tried_targets`` lists the targets that were
    sent the request and ``reason`` describes the last result for the log. ``estimate`` holds the estimates
    behind the last decision and ``rate_limit`` is the one that the last answer stated, in requests per
    second. ``is_caller_retry`` reports that the caller has waited before: it has less time left than the
    timeout of the route. ``is_relayed`` reports that another entry has passed it on, ``is_passed_on`` that
    this entry passes it on and no attempt of its own may have run. ``customer`` is the name of the customer
    that sends it and ``key_digest`` the digest of its API key; both are empty without one.
    ``customer_priority`` goes before that of the route.
    """

    request_id: bytes
    method: bytes
    url: bytes
    headers: Headers = attrs.field(repr=False)
    body: bytes
    route: Route
    service: RoutedService
    key: int | None
    arrived_at: float
    deadline: float
    attempts: int = 0
    send_count: int = 0
    may_have_run: bool = False
    tried_targets: list[str] = attrs.field(factory=list)
    reason: str = ""
    estimate: DispatchEstimate | None = None
    rate_limit: float | None = None
    is_caller_retry: bool = False
    is_relayed: bool = False
    _fingerprint: str = ""
    customer: str = ""
    key_digest: str = attrs.field(default="", repr=False)
    is_passed_on: bool = False
    customer_priority: int | None = None

    @property
    def priority(self) -> int:
        """Priority of its customer if that has one, else of its route; 0 is the highest."""
        return self.route.priority if self.customer_priority is None else self.customer_priority

    @property
    def fingerprint(self) -> str:
        """Hash of method, URL, key and body, which is the same when a caller sends the request again."""
        if not self._fingerprint:
            digest = hashlib.blake2b(digest_size=12)
            for part in (self.method, self.url, str(self.key).encode(), self.body):
                digest.update(part)
                digest.update(b"\n")
            self._fingerprint = digest.hexdigest()
        return self._fingerprint

    def record_attempt(self, target_id: str, may_have_run: bool) -> None:
        """Record that the request was sent to a target, where it may have run or certainly did not."""
        self.send_count += 1
        self.tried_targets.append(target_id)
        self.attempts += may_have_run
        self.may_have_run = self.may_have_run or may_have_run

    def encode(self, headers: Headers) -> bytes:
        """Return the bytes to send with the given headers."""
        lines = [self.method + b" " + self.url + b" HTTP/1.1"]
        lines.extend(name + b": " + value for name, value in headers)
        if self.body or self.method not in METHODS_WITHOUT_BODY:
            lines.append(b"content-length: %d" % len(self.body))
        return b"\r\n".join(lines) + b"\r\n\r\n" + self.body

    def remaining(self, now: float) -> float:
        """Return the seconds until the caller's deadline."""
        return self.deadline - now


class RefusedError(Exception):
    """The request has not run and will not run.

    Args:
        reason: Reason for the log and the caller.
        retry_after: Seconds after which capacity is expected to be free.
    """

    def __init__(self, reason: str, retry_after: float) -> None:
        super().__init__(reason)
        self.reason = reason
        self.retry_after = retry_after


class KeyRevokedError(RefusedError):
    """The request has not run and will not run, because its API key is no longer in force."""


class OutcomeUnknownError(Exception):
    """The request may have run and there is no answer to send to the caller."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


@attrs.frozen
class AttemptResult:
    """A target's answer to a request; ``did_not_run`` reports that the target states it did not run it."""

    answer: TargetAnswer
    target_id: str
    did_not_run: bool = False


def raise_failure(request: RoutedRequest, reason: str, retry_after: float) -> NoReturn:
    """Raise the error for a request that is not sent again.

    Raises:
        RefusedError: No attempt has run.
        OutcomeUnknownError: An attempt may have run.
    """
    if request.may_have_run:
        raise OutcomeUnknownError(reason)
    raise RefusedError(reason, retry_after)
