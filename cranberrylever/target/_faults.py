"""Faults that tests and benchmarks inject into a stand-in target."""

import asyncio

import attrs


@attrs.frozen
class FaultOrder:
    """Body of ``POST /-/fault``; absent fields change nothing.

    ``slow_factor`` multiplies the service time for ``for_ms`` (0: until changed). A request whose path starts
    with ``crash_path`` crashes the target when it starts (empty: none). ``freeze_ms`` suspends all processing
    for a time, as if the process were stopped.
    """

    slow_factor: float | None = None
    for_ms: float = 0.0
    cold: bool | None = None
    crash_path: str | None = None
    load_lag_s: float | None = None
    freeze_ms: float | None = None


@attrs.define
class Faults:
    """The active faults; times are loop times in seconds. ``unfrozen`` is set unless the target is frozen."""

    slow_factor: float = 1.0
    slow_until: float | None = None
    crash_path: str = ""
    unfrozen: asyncio.Event = attrs.field(factory=asyncio.Event)

    def __attrs_post_init__(self) -> None:
        self.unfrozen.set()

    def slow(self, factor: float, for_ms: float, now: float) -> None:
        """Multiply service times by ``factor`` for ``for_ms`` milliseconds (0: until changed)."""
        self.slow_factor = factor
        self.slow_until = now + for_ms / 1000 if for_ms else None

    def current_factor(self, now: float) -> float:
        """Return the service time factor of work that starts now."""
        if self.slow_until is not None and now >= self.slow_until:
            self.slow_factor = 1.0
            self.slow_until = None
        return self.slow_factor

    def crashes(self, path: str) -> bool:
        """Return whether a request to this path crashes the target."""
        return bool(self.crash_path) and path.startswith(self.crash_path)

    def freeze(self, duration: float) -> None:
        """Suspend all processing for ``duration`` seconds."""
        self.unfrozen.clear()
        asyncio.get_running_loop().call_later(duration, self.unfrozen.set)
