"""The product's own calls to targets that hold keys."""

from cranberrylever.steering._orders import GrantAnswer, KeyGrant, TargetOrders
from cranberrylever.targetlink import AnswerLostError, NotSentError, TargetPool

GRANT_PATH = "/-/keys/grant"
RELEASE_PATH = "/-/keys/release"
CALL_TIMEOUT_S = 0.5
RELEASE_TIMEOUT_S = 2.0


class OwnOrders(TargetOrders):
    """Grants, releases and probes as ``docs/routes.md`` describes them."""

    def __init__(self) -> None:
        self.pool = TargetPool()

    async def grant(self, address: str, grant: KeyGrant) -> GrantAnswer:
        """Grant keys, or renew a grant."""
        try:
            answer = await self.pool.call(address, "POST", GRANT_PATH, grant, CALL_TIMEOUT_S)
        except NotSentError:
            return GrantAnswer.NOT_SENT
        except (AnswerLostError, TimeoutError):
            return GrantAnswer.LOST
        if answer.status == 200:
            return GrantAnswer.GRANTED
        return GrantAnswer.REFUSED if answer.status == 409 else GrantAnswer.LOST

    async def release(self, address: str, first: int, last: int, fence: int) -> str | None:
        """Take keys back and return the handover token."""
        body = {"first": first, "last": last, "fence": fence}
        try:
            answer = await self.pool.call(address, "POST", RELEASE_PATH, body, RELEASE_TIMEOUT_S)
        except (NotSentError, AnswerLostError, TimeoutError):
            return None
        return answer.body.decode() if answer.status == 200 else None

    async def probe(self, address: str, health_path: str) -> str | None:
        """Return the id of the healthy target at an address, which is the body of its answer."""
        try:
            answer = await self.pool.call(address, "GET", health_path, None, CALL_TIMEOUT_S)
        except (NotSentError, AnswerLostError, TimeoutError):
            return None
        return answer.body.decode() if answer.status == 200 else None

    async def close(self) -> None:
        """Close all connections."""
        self.pool.close()
