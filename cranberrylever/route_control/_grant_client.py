"""Orders to targets: grants and releases of key ranges, and the record of who answers."""

import abc
import enum

import attrs


class GrantAnswer(enum.Enum):
    """What became of a grant: ``NOT_SENT`` and ``REFUSED`` granted nothing, ``LOST`` may have."""

    GRANTED = "granted"
    REFUSED = "refused"
    NOT_SENT = "not sent"
    LOST = "lost"


@attrs.frozen
class KeyGrant:
    """Keys ``first`` to ``last`` under ``fence`` for ``lease`` seconds from the arrival of the call.

    ``handover`` is the token with which the last holder gave the keys up, empty without one.
    """

    first: int
    last: int
    fence: int
    lease: float
    handover: str = ""


class GrantClient(abc.ABC):
    """Calls to targets. A call that fails resets its connection, so that its bytes can't arrive later."""

    @abc.abstractmethod
    async def grant(self, address: str, grant: KeyGrant) -> GrantAnswer:
        """Grant keys, or renew a grant."""

    @abc.abstractmethod
    async def release(self, address: str, first: int, last: int, fence: int) -> str | None:
        """Take keys back; returns the handover token once their work has ended.

        Without an answer it returns ``None``; an empty token says that there is none.
        """

    @abc.abstractmethod
    async def probe(self, address: str, health_path: str) -> str | None:
        """Return the id of the healthy target at an address, ``None`` when it does not say so."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""
