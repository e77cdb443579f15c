"""Request counts that an entry reports to control with each poll."""

from cranberrylever.wire import HotKey, ShardCount

HOT_KEY_WINDOW_S = 1.0
"""Time over which requests per key are counted; one poll interval has too few requests."""

MAX_REPORTED_HOT_KEYS = 16
"""Maximum number of keys in one report; those with the most requests are reported."""

MIN_HOT_REQUESTS = 4
"""Minimum number of requests for a reported key in one window."""

MIN_HOT_SHARE = 0.002
"""Minimum share of an entry's keyed requests for a reported key.

With 20 targets each serves a share of 0.05 on average, so 0.002 is 4% of the load of one target.
"""

MAX_COUNTED_KEYS = 20_000
"""Maximum number of keys counted in one window; requests for further keys count only for their shard."""


class RequestCounts:
    """Request counts per shard since the last report, and per key in the current window."""

    def __init__(self) -> None:
        self.shards: dict[tuple[str, int], int] = {}
        self.keys: dict[tuple[str, int], int] = {}
        self.requests = 0
        self.window_requests = 0
        self.window_ends_at = 0.0

    def record(self, service: str, key_hash: int | None, shard: int) -> None:
        """Count one request."""
        self.requests += 1
        if key_hash is None:
            return
        self.window_requests += 1
        shard_key = (service, shard)
        self.shards[shard_key] = self.shards.get(shard_key, 0) + 1
        key = (service, key_hash)
        count = self.keys.get(key)
        if count is not None:
            self.keys[key] = count + 1
        elif len(self.keys) < MAX_COUNTED_KEYS:
            self.keys[key] = 1

    def take_requests(self) -> int:
        """Return the number of requests since the last report and reset it."""
        requests, self.requests = self.requests, 0
        return requests

    def take_shards(self) -> tuple[ShardCount, ...]:
        """Return the counts per shard since the last report and reset them."""
        counts = tuple(ShardCount(service, shard, count) for (service, shard), count in self.shards.items())
        self.shards = {}
        return counts

    def take_hot_keys(self, now: float) -> tuple[HotKey, ...]:
        """Return the most requested keys and start a new window; empty while the current window lasts."""
        if now < self.window_ends_at:
            return ()
        min_requests = max(MIN_HOT_REQUESTS, MIN_HOT_SHARE * self.window_requests)
        hot = [item for item in self.keys.items() if item[1] >= min_requests]
        hot.sort(key=lambda item: -item[1])
        self.keys = {}
        self.window_requests = 0
        self.window_ends_at = now + HOT_KEY_WINDOW_S
        return tuple(HotKey(service, key, count) for (service, key), count in hot[:MAX_REPORTED_HOT_KEYS])
