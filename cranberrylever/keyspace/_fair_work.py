"""Division of the work of a service among the targets that may own its keys."""

from collections.abc import Sequence

import attrs

FULL_UTILIZATION = 0.75
"""Utilization of a service from which work is divided by capacity alone, without preference for speed."""

MAX_SPEED_EXPONENT = 6.0
"""Exponent of the relative speed in a target's weight at a utilization of 0."""

MAX_FAIR_UTILIZATION = 0.7
"""Utilization up to which fair work fills a target while others have free capacity.

It bounds the preference for fast targets.
"""


@attrs.frozen
class PlanOwner:
    """A target that may own keys.

    ``capacity`` is in seconds of work per second. Work is divided among owners in proportion to ``weight``.
    """

    incarnation: tuple[str, int]
    capacity: float
    weight: float


def fair_weight(capacity: float, speed: float, utilization: float) -> float:
    """Return the weight of a target in the division of work.

    While capacity is unused, fast targets get more than in proportion to capacity, because they answer each
    request sooner. The preference falls to none as utilization rises to ``FULL_UTILIZATION``.

    Args:
        capacity: Seconds of work per second.
        speed: Relative speed; 1.0 is the average of the service.
        utilization: Work of the service divided by the capacity of all its targets.
    """
    spare = max(0.0, 1.0 - utilization / FULL_UTILIZATION)
    return capacity * speed ** (MAX_SPEED_EXPONENT * spare)


def divide_work(owners: Sequence[PlanOwner], work: float) -> dict[tuple[str, int], float]:
    """Divide work by weight, with the work of each target capped at a maximum utilization.

    The maximum is ``MAX_FAIR_UTILIZATION``, or the mean utilization if that is higher. Targets are processed
    by ascending ``capacity / weight``, so that the work above a target's cap goes to the targets after it.
    """
    capacity = sum(owner.capacity for owner in owners)
    max_utilization = max(MAX_FAIR_UTILIZATION, work / capacity)
    fair_work: dict[tuple[str, int], float] = {}
    ordered = sorted(owners, key=lambda owner: (owner.capacity / owner.weight, owner.incarnation))
    weight = sum(owner.weight for owner in owners)
    for owner in ordered:
        owner_work = min(work * owner.weight / weight, max_utilization * owner.capacity)
        fair_work[owner.incarnation] = owner_work
        work -= owner_work
        weight -= owner.weight
    return fair_work
