"""What a target says about itself."""

import attrs


@attrs.frozen
class Announcement:
    """A target's announcement.

    ``address`` is ``host:port``; ``incarnation`` is new on each start of the target; ``slots`` is the work it
    runs at once when warm and ``cold_capacity`` the most work it carries while cold; ``checks_fence`` tells
    whether it refuses work and grants with an old fence.
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
