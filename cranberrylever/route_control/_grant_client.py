"""Interface of the calls to targets that grant, release and probe."""

import abc
import enum

import attrs

from cranberrylever.target_registry import RegisteredTarget

GRANT_TIMEOUT_S = 0.5
"""Longest time of a grant call, after which its connection is reset."""


class GrantAnswer(enum.Enum):
    """Outcome of a grant call: only ``GRANTED`` and ``LOST`` may have granted something."""

    GRANTED = "granted"
    REFUSED = "refused"
    NOT_SENT = "not sent"
    MISDIRECTED = "another target has the address"
    LOST = "lost"


@attrs.frozen
class KeyGrant:
    """Grant of keys ``first`` to ``last`` under ``fence`` for ``lease`` seconds from the arrival of the call.

    ``handover`` is the token with which the last holder released the keys, empty when there is none.
    """

    first: int
    last: int
    fence: int
    lease: float
    handover: str = ""


class GrantClient(abc.ABC):
    """Calls to targets; a failed call resets its connection, so that its bytes cannot arrive later.

    A call about keys names its target, because another one may have got the address meanwhile.
    """

    @abc.abstractmethod
    async def grant(self, target: RegisteredTarget, grant: KeyGrant) -> GrantAnswer:
        """Grant keys, or renew a grant, within ``GRANT_TIMEOUT_S``."""

    @abc.abstractmethod
    async def release(self, target: RegisteredTarget, first: int, last: int, fence: int) -> str | None:
        """Release keys; the target answers once the work on them has ended.

        Returns:
            The handover token, empty when the target gives none; ``None`` without an answer.
        """

    @abc.abstractmethod
    async def probe(self, address: str, health_path: str) -> str | None:
        """Return the id of the target at an address, ``None`` unless it answers that it is healthy."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""
