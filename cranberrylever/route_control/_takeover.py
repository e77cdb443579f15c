"""What a new leader, and a new process at the address of an ended one, take over."""

from collections.abc import Iterable, Mapping

from cranberrylever.keyspace import HELD, KeyRange, RangeEdit
from cranberrylever.route_control._announced_grants import ANNOUNCED_LEASE_S
from cranberrylever.route_control._lease_manager import LEASE_S, LONG_LEASE_S, MANY_TARGETS
from cranberrylever.route_control._state import RouteControlState
from cranberrylever.target_registry import TargetRegistry

Incarnation = tuple[str, int]


def predecessor_lease(state: RouteControlState) -> float | None:
    """Return the longest lifetime in seconds of a grant of the leader before, ``None`` without any.

    A leader grants only what it has applied, so it is in the log of each later one, which has applied all
    entries before its term when that begins.

    Args:
        state: The replicated state at the start of a term.
    """
    if not state.has_assigned_keys():
        return None
    plan = state.plans.current
    leases = [LEASE_S]
    # The leader before may have had some more targets.
    if len(state.fleet.targets) >= MANY_TARGETS / 2:
        leases.append(LONG_LEASE_S)
    for name in state.tables:
        service = plan.service(name) if plan is not None else None
        if service is None or service.granted_in_answers:
            leases.append(ANNOUNCED_LEASE_S)
    return max(leases)


def successor_assignments(
    possibly_held: Iterable[KeyRange],
    owners: set[Incarnation],
    addresses: Mapping[Incarnation, str],
    fleet: TargetRegistry,
) -> list[RangeEdit]:
    """Assign possibly held ranges to the new process at the address of their last holder.

    Only that process can hold such a range, and the new grant replaces what it may hold, so no lease has
    to expire first.

    Args:
        possibly_held: Free ranges that their last holder may still hold.
        owners: Targets that may get keys.
        addresses: Address of each last holder, as far as it is known.
        fleet: The registered targets.
    """
    edits = []
    for item in sorted(possibly_held, key=lambda item: item.first):
        address = addresses.get(item.incarnation)
        successor = fleet.at_address(address) if address else None
        if (
            successor is not None
            and successor.incarnation != item.incarnation
            and successor.incarnation in owners
        ):
            edits.append(RangeEdit(item.first, item.last, HELD, *successor.incarnation))
    return edits
