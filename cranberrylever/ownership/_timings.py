"""Time constants of the ownership rules, in seconds."""

import attrs


@attrs.frozen
class Timings:
    """Time constants, in seconds unless stated otherwise.

    ``drift_margin`` is the fraction of a lifetime added for unequal clock rates. ``suspect_after`` is the age
    of a target's last acknowledgement from which its shards are released early: entries then settle while the
    grant runs out, so that freeing and assigning follow the expiry at once. ``stall_gap`` is the time between
    two steps above which this process was stalled itself and acknowledgements may wait unread.
    ``awaited_interval`` is the time between renewals while a releasing shard waits only for the target's
    acknowledgement. ``placement_delay`` lets targets answer a new leader, and ``first_placement_delay`` lets
    targets that start together announce, before shards are divided among them. ``load_warm_up`` is the time
    without moves for balance under a new leader, which knows no loads yet.
    """

    grant_interval: float = 0.2
    grant_lifetime: float = 1.2
    view_interval: float = 0.2
    view_lifetime: float = 1.2
    drift_margin: float = 0.1
    suspect_after: float = 0.6
    stall_gap: float = 0.3
    stall_grace: float = 0.5
    proposal_timeout: float = 0.5
    abandon_renewal_after: float = 2.0
    lost_probe_interval: float = 1.0
    awaited_interval: float = 0.03
    placement_delay: float = 0.3
    first_placement_delay: float = 0.5
    balance_delay: float = 1.0
    balance_interval: float = 0.5
    load_warm_up: float = 10.0
    evacuation_interval: float = 0.2
    evacuation_time: float = 1.8
    permit_interval: float = 0.4
    permit_rotation: float = 2.0
    load_time_constant: float = 30.0
    remove_lost_after: float = 600.0
    suspect_retention: float = 600.0

    @property
    def grant_bound(self) -> float:
        """Return the longest life of a grant on this process's clock."""
        return self.grant_lifetime * (1 + self.drift_margin)

    @property
    def view_bound(self) -> float:
        """Return the longest life of a view on this process's clock."""
        return self.view_lifetime * (1 + self.drift_margin)
