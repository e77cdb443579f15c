"""Interface for the quotas of customers, which hold over all entries together."""

import abc
import asyncio

from cranberrylever.errors import NotRunError
from cranberrylever.route_plan import Customer


class QuotaExceededError(NotRunError):
    """A customer has used up its quota; the request has not run.

    Args:
        retry_after: Seconds until a share of the quota is free.
    """

    def __init__(self, retry_after: float) -> None:
        super().__init__("the quota of the customer is used up", f"retry after {retry_after:.3f} seconds")
        self.retry_after = retry_after


class CustomerQuota(abc.ABC):
    """Share of the customers' quotas that this entry may use."""

    @abc.abstractmethod
    async def acquire(self, customer: Customer, deadline: float) -> float:
        """Take the share of one request, which may wait for one until the loop time ``deadline``.

        Returns:
            Loop time at which the share was taken.

        Raises:
            QuotaExceededError: No share is free in time.
        """

    @abc.abstractmethod
    def give_back(self, customer: Customer, taken_at: float) -> None:
        """Return the share of a request that was refused and has not run.

        Args:
            customer: The customer.
            taken_at: What ``acquire`` returned, so that the share of no other request is returned.
        """


class UnlimitedQuota(CustomerQuota):
    """Quota for programs without a limit on the requests of customers."""

    async def acquire(self, customer: Customer, deadline: float) -> float:
        """Admit each request."""
        return asyncio.get_running_loop().time()

    def give_back(self, customer: Customer, taken_at: float) -> None:
        """Do nothing, as nothing was taken."""
