"""Budget of extra requests, such as retries, in proportion to the requests of callers."""

DEFAULT_CAPACITY_TOKENS = 50.0
"""Tokens available for a burst, such as the retries after the loss of one target."""


class TokenBucket:
    """Token bucket that allows ``ratio`` extra requests per request, plus a bounded burst.

    Args:
        ratio: Tokens added for each request; with 0 no extra request is allowed.
        capacity: Maximum number of tokens; the bucket starts full.
    """

    def __init__(self, ratio: float, capacity: float = DEFAULT_CAPACITY_TOKENS) -> None:
        self.ratio = ratio
        self.capacity = capacity
        self.tokens = capacity

    def record_request(self) -> None:
        """Add ``ratio`` tokens for one request."""
        self.tokens = min(self.capacity, self.tokens + self.ratio)

    def is_available(self) -> bool:
        """Return whether a token can be taken; never while the ratio is 0."""
        return self.ratio > 0.0 and self.tokens >= 1.0

    def take(self) -> bool:
        """Take one token and return whether there was one."""
        if not self.is_available():
            return False
        self.tokens -= 1.0
        return True
