"""The announcement that a target sends to control."""

import attrs


@attrs.frozen
class Announcement:
    """A target's announcement of itself.

    Attributes:
        address: Listen address as ``host:port``.
        incarnation: Id that is new on each start of the target.
        slots: Number of requests that it runs at once while warm.
        cold_capacity: Maximum number of requests that it holds at once while cold.
        checks_fence: Whether it refuses work and grants with an old fence.
    """

    target_id: str
    service: str
    address: str
    failure_domain: str
    incarnation: str
    slots: int
    connections: int
    cold_capacity: int = 1
    checks_fence: bool = True
    weight: float = 1.0
    leaving: bool = False
