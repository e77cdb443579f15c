"""Interface for the quotas of customers, which hold over all entries together."""

import abc
import asyncio

from cranberrylever.errors import NotRunError
from cranberrylever.route_plan import Customer


class QuotaExceededError(NotRunError):
    """A customer has used up its quota; the request has not run.

    Args:
        retry_after: Seconds until a token is expected.
    """

    def __init__(self, retry_after: float) -> None:
        super().__init__("the quota of the customer is used up", f"retry after {retry_after:.3f} seconds")
        self.retry_after = retry_after


class CustomerQuota(abc.ABC):
    """Tokens that this entry may use for the requests of customers."""

    @abc.abstractmethod
    async def acquire(self, customer: Customer, deadline: float) -> float:
        """Take a token for one request; wait for one until the loop time ``deadline`` at most.

        Returns:
            Loop time at which the token was taken.

        Raises:
            QuotaExceededError: No token is free in time.
        """

    @abc.abstractmethod
    def give_back(self, customer: Customer, taken_at: float) -> None:
        """Give back the token of a request that was refused and has not run.

        Args:
            customer: The customer.
            taken_at: What ``acquire`` returned, so that no other request's token is given back.
        """


class UnlimitedQuota(CustomerQuota):
    """Quota for programs without a limit on the requests of customers."""

    async def acquire(self, customer: Customer, deadline: float) -> float:
        """Admit each request."""
        return asyncio.get_running_loop().time()

    def give_back(self, customer: Customer, taken_at: float) -> None:
        """Do nothing, as nothing was taken."""
