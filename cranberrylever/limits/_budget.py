"""Budget for extra requests, proportional to the requests of callers."""

DEFAULT_CAPACITY = 50.0
"""Tokens kept for a burst, such as the loss of one target."""


class TokenBucket:
    """Allows ``ratio`` extra requests per request, with a bounded reserve.

    Args:
        ratio: Tokens added for each request.
        capacity: Most tokens kept; the bucket starts full.
    """

    def __init__(self, ratio: float, capacity: float = DEFAULT_CAPACITY) -> None:
        self.ratio = ratio
        self.capacity = capacity
        self.tokens = capacity

    def record_request(self) -> None:
        """Add the share of one request."""
        self.tokens = min(self.capacity, self.tokens + self.ratio)

    def is_available(self) -> bool:
        """Tell whether a token can be taken; never while the ratio is 0."""
        return self.ratio > 0.0 and self.tokens >= 1.0

    def take(self) -> bool:
        """Take one token; ``False`` when there is none."""
        if not self.is_available():
            return False
        self.tokens -= 1.0
        return True
