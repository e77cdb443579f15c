"""Decides whether a request with an API key may be sent by the view that an entry holds.

Load: a plan takes a key away while entries are cut off, suspended or hold requests that wait. The leader
confirms a view only while it holds its lease, so a confirmed view holds all plans that were acknowledged
when the entry asked. An entry sends requests with a key only for a part of the bound after that moment,
so nothing is sent later than the bound after the acknowledgement.
"""

import enum
import math
import time
from collections.abc import Callable

from cranberrylever.customers._directory import CustomerDirectory

CONFIRMED_SHARE = 0.8
"""Share of the bound for which a confirmation counts; the rest is for clock rates and opening connections."""

MIN_SUSPENSION_S = 0.1
"""Time by which CLOCK_BOOTTIME must gain on the monotonic clock for a suspension; lesser gains add up."""


class SendVerdict(enum.Enum):
    """Whether a request may be sent."""

    SEND = enum.auto()
    KEY_REVOKED = enum.auto()
    CUSTOMER_CHANGED = enum.auto()
    VIEW_UNCONFIRMED = enum.auto()


def suspended_time() -> float:
    """Return the seconds since the start of the system that the steady clock has not counted."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) - time.monotonic()


class RevocationGuard:
    """Bound on the age of the view for requests with an API key; times are loop times in seconds.

    Args:
        revocation_time: Seconds after the acknowledgement of a plan from which no request runs with a key
            that it took away, 0 without a bound.
        read_suspended_time: Returns the time that the loop's clock has not counted.
    """

    def __init__(
        self, revocation_time: float = 0.0, read_suspended_time: Callable[[], float] = suspended_time
    ) -> None:
        self.max_age = CONFIRMED_SHARE * revocation_time if revocation_time > 0 else math.inf
        self.read_suspended_time = read_suspended_time
        self.known_suspended_time = read_suspended_time()
        self.woke_at = -math.inf

    def is_confirmed(self, confirmed_at: float, now: float) -> bool:
        """Return whether a view confirmed as of ``confirmed_at`` tells which keys are in force."""
        if self.max_age == math.inf:
            return True
        suspended = self.read_suspended_time()
        if suspended - self.known_suspended_time > MIN_SUSPENSION_S:
            self.woke_at = now
            self.known_suspended_time = suspended
        return confirmed_at > self.woke_at and now - confirmed_at < self.max_age

    def decide(
        self,
        directory: CustomerDirectory,
        digest: str,
        customer: str,
        is_public: bool,
        confirmed_at: float,
        now: float,
    ) -> SendVerdict:
        """Decide on a request; it is sent only if it would be read with the same customer now.

        Args:
            directory: Customers of the newest view.
            digest: Digest of the key, empty for a request without one.
            customer: Name of the customer as of the time when it was read, empty without one.
            is_public: Whether its route needs no key.
            confirmed_at: When the view held all that was in force.
            now: The current time.
        """
        if not digest:
            needs_key = not (is_public or directory.is_empty)
            return SendVerdict.CUSTOMER_CHANGED if needs_key else SendVerdict.SEND
        if not self.is_confirmed(confirmed_at, now):
            return SendVerdict.VIEW_UNCONFIRMED
        if directory.is_empty:
            return SendVerdict.CUSTOMER_CHANGED
        holder = directory.find(digest)
        if holder is None:
            return SendVerdict.KEY_REVOKED
        return SendVerdict.SEND if holder.name == customer else SendVerdict.CUSTOMER_CHANGED
