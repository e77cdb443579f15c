"""One caller's request on a route, and how it ended."""

import hashlib

import attrs

from cranberrylever.route_entry._format import Headers
from cranberrylever.route_plan import Route, RoutedService
from cranberrylever.target_http import TargetAnswer


@attrs.define(eq=False)
class Call:
    """A request as read from its caller; times are loop seconds.

    ``sends`` counts the targets that it was sent to and ``attempts`` those that may have run it;
    ``may_have_run`` tells whether there was one. ``has_returned`` tells whether its caller has waited before:
    it has less time left than the route gives.
    """

    request_id: bytes
    method: bytes
    url: bytes
    headers: Headers
    body: bytes
    route: Route
    service: RoutedService
    key: int | None
    arrived: float
    deadline: float
    attempts: int = 0
    sends: int = 0
    may_have_run: bool = False
    tried: list[str] = attrs.field(factory=list)
    reason: str = ""
    has_returned: bool = False
    _fingerprint: str = ""

    @property
    def fingerprint(self) -> str:
        """Hash of what identifies the work, which is the same when a caller sends it again."""
        if not self._fingerprint:
            digest = hashlib.blake2b(digest_size=12)
            for part in (self.method, self.url, str(self.key).encode(), self.body):
                digest.update(part)
                digest.update(b"\n")
            self._fingerprint = digest.hexdigest()
        return self._fingerprint

    def remaining(self, now: float) -> float:
        """Return the seconds that the caller still waits."""
        return self.deadline - now


class RefusedError(Exception):
    """The request has not run and will not run.

    Args:
        reason: Why, for the log and the caller.
        retry_after: Seconds after which room is expected.
    """

    def __init__(self, reason: str, retry_after: float) -> None:
        super().__init__(reason)
        self.reason = reason
        self.retry_after = retry_after


class OutcomeUnknownError(Exception):
    """The request may have run and there is no answer to pass on."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


@attrs.frozen
class Served:
    """A target's answer to a call, and the target; ``did_not_run`` is the target's own statement."""

    answer: TargetAnswer
    target_id: str
    did_not_run: bool = False
