"""Counts that an entry reports to control with each poll."""

from cranberrylever.wire import HotKey, ShardCount

HOT_KEY_WINDOW = 1.0
"""Seconds over which keys are counted; a single poll interval sees too few requests."""

HOT_KEYS_REPORTED = 16
MIN_HOT_REQUESTS = 4
MIN_HOT_SHARE = 0.002
"""Share of an entry's keyed requests from which a key is reported; one of 20 targets carries 0.05."""

MAX_COUNTED_KEYS = 20_000


class RequestCounts:
    """Requests per shard since the last report and per key in the current window."""

    def __init__(self) -> None:
        self.shards: dict[tuple[str, int], int] = {}
        self.keys: dict[tuple[str, int], int] = {}
        self.requests = 0
        self.window_requests = 0
        self.window_ends = 0.0

    def record(self, service: str, key_hash: int | None, shard: int) -> None:
        """Count one request."""
        self.requests += 1
        if key_hash is None:
            return
        self.window_requests += 1
        place = (service, shard)
        self.shards[place] = self.shards.get(place, 0) + 1
        key = (service, key_hash)
        count = self.keys.get(key)
        if count is not None:
            self.keys[key] = count + 1
        elif len(self.keys) < MAX_COUNTED_KEYS:
            self.keys[key] = 1

    def take_requests(self) -> int:
        """Return the requests since the last report."""
        requests, self.requests = self.requests, 0
        return requests

    def take_shards(self) -> tuple[ShardCount, ...]:
        """Return the counts per shard since the last report."""
        counts = tuple(ShardCount(service, shard, count) for (service, shard), count in self.shards.items())
        self.shards = {}
        return counts

    def take_hot_keys(self, now: float) -> tuple[HotKey, ...]:
        """Return the keys with most requests when the window is over, else nothing."""
        if now < self.window_ends:
            return ()
        least = max(MIN_HOT_REQUESTS, MIN_HOT_SHARE * self.window_requests)
        hot = [item for item in self.keys.items() if item[1] >= least]
        hot.sort(key=lambda item: -item[1])
        self.keys = {}
        self.window_requests = 0
        self.window_ends = now + HOT_KEY_WINDOW
        return tuple(HotKey(service, key, count) for (service, key), count in hot[:HOT_KEYS_REPORTED])
