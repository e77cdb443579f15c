"""Time constants of the leader's decisions."""

import attrs


@attrs.frozen
class Timings:
    """Time constants, in seconds unless stated otherwise.

    Attributes:
        drift_margin: Fraction of a lifetime that is added for clocks of different rates.
        suspect_after: Age of a target's last acknowledgement from which its shards are released early.
            Entries then settle before the grant expires, and the shards are freed and assigned at its expiry.
        stall_gap: Time between two steps above which this process counts as stalled, so that received
            acknowledgements may still be unread.
        stall_grace: Time after a stall in which no target is suspected.
        proposal_timeout: Time after which a proposal that is not applied counts as lost.
        abandon_renewal_after: Age from which an unanswered renewal does not block the next one.
        lost_probe_interval: Renewal interval of a lost target that does not answer.
        awaited_interval: Renewal interval while a releasing shard waits only for an acknowledgement.
        placement_delay: Delay of placements under a new leader, in which targets answer its renewals.
        first_placement_delay: Delay of placements after the first target is eligible, in which targets that
            start together announce themselves.
        balance_delay: Time without moves for balance after a change of the targets that may own shards.
        balance_interval: Minimum time between two plans for balance.
        load_warm_up: Time without moves for balance under a new leader, which has no request counts yet.
        evacuation_interval: Time between two batches of releases of a leaving target.
        evacuation_time: Time in which all shards of a leaving target are released.
        permit_interval: Time after a change of an allocation in which no entry's permits are reduced.
        permit_rotation: Time after which other entries get the permits of a budget below their number.
        load_time_constant: Time constant of the decay of request counts.
        remove_lost_after: Time after which a target that stays lost is removed.
        suspect_retention: Time for which a fingerprint is kept after the last new crash reported for it.
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
        """Return the maximum lifetime of a grant on this process's clock, in seconds."""
        return self.grant_lifetime * (1 + self.drift_margin)

    @property
    def view_bound(self) -> float:
        """Return the maximum lifetime of a view on this process's clock, in seconds."""
        return self.view_lifetime * (1 + self.drift_margin)
