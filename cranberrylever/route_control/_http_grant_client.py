"""Grant, release and probe calls over HTTP with JSON bodies; subclasses define paths and fields."""

import abc
from collections.abc import Mapping

from cranberrylever.route_control._grant_client import GRANT_TIMEOUT_S, GrantAnswer, GrantClient, KeyGrant
from cranberrylever.target_http import AnswerLostError, NotSentError, TargetAnswer, TargetPool
from cranberrylever.target_registry import RegisteredTarget

RELEASE_TIMEOUT_S = 2.0
"""Seconds for a release, which a target answers only once the work on its keys has ended."""

PROBE_TIMEOUT_S = 0.5

_OK = 200
_MISDIRECTED = 421


class HttpGrantClient(GrantClient):
    """Calls targets over HTTP; a subclass defines paths and bodies and reads the answers.

    Attributes:
        grant_path: Path of a grant.
        release_path: Path of a release.
        refusal_status_codes: Status codes with which a target refuses a grant.
        target_header: Header with the id of the target; any other one answers 421 and does nothing.
    """

    grant_path: str
    release_path: str
    refusal_status_codes: frozenset[int]
    target_header: str

    def __init__(self) -> None:
        self.pool = TargetPool()
        self.last_tokens: dict[str, str] = {}

    @abc.abstractmethod
    def grant_body(self, grant: KeyGrant) -> Mapping[str, object]:
        """Return the body of a grant."""

    @abc.abstractmethod
    def release_body(self, first: int, last: int, fence: int) -> Mapping[str, object]:
        """Return the body of a release."""

    @abc.abstractmethod
    def handover_token(self, answer: TargetAnswer) -> str:
        """Return the token in the answer to a release, empty when there is none."""

    @abc.abstractmethod
    def target_id(self, answer: TargetAnswer) -> str:
        """Return the target id in the answer to a probe."""

    async def grant(self, target: RegisteredTarget, grant: KeyGrant) -> GrantAnswer:
        """Grant keys, or renew a grant."""
        body = self.grant_body(grant)
        headers = {self.target_header: target.target_id}
        try:
            answer = await self.pool.call(
                target.address, "POST", self.grant_path, body, GRANT_TIMEOUT_S, headers
            )
        except NotSentError:
            return GrantAnswer.NOT_SENT
        except (AnswerLostError, TimeoutError):
            return GrantAnswer.LOST
        if answer.status == _OK:
            return GrantAnswer.GRANTED
        # A late copy of a rejection would count for the next grant, which the target may have accepted.
        self.pool.close_idle(target.address)
        if answer.status == _MISDIRECTED:
            return GrantAnswer.MISDIRECTED
        return GrantAnswer.REFUSED if answer.status in self.refusal_status_codes else GrantAnswer.LOST

    async def release(self, target: RegisteredTarget, first: int, last: int, fence: int) -> str | None:
        """Release keys and return the handover token.

        A target may repeat the answer to an earlier call late, and keys that it still holds would count as
        released. So only a token that it has not given before confirms a release on a connection that is in
        use; without one the call is made again on a connection of its own.
        """
        token = await self._release(target, first, last, fence)
        if token == "" or (token is not None and token == self.last_tokens.get(target.address)):
            self.pool.close_idle(target.address)
            token = await self._release(target, first, last, fence)
        if token:
            self.last_tokens[target.address] = token
        return token

    async def _release(self, target: RegisteredTarget, first: int, last: int, fence: int) -> str | None:
        body = self.release_body(first, last, fence)
        headers = {self.target_header: target.target_id}
        answer = await self._call(target.address, "POST", self.release_path, body, RELEASE_TIMEOUT_S, headers)
        return self.handover_token(answer) if answer is not None else None

    async def probe(self, address: str, health_path: str) -> str | None:
        """Return the id of the healthy target at an address."""
        answer = await self._call(address, "GET", health_path, None, PROBE_TIMEOUT_S)
        return self.target_id(answer) if answer is not None else None

    async def close(self) -> None:
        """Close all connections."""
        self.pool.close()

    async def _call(
        self,
        address: str,
        method: str,
        path: str,
        body: Mapping[str, object] | None,
        timeout: float,
        headers: Mapping[str, str] | None = None,
    ) -> TargetAnswer | None:
        """Return the answer with status 200, ``None`` otherwise; the calling code logs a failure."""
        try:
            answer = await self.pool.call(address, method, path, body, timeout, headers)
        except (NotSentError, AnswerLostError, TimeoutError):
            return None
        return answer if answer.status == _OK else None
