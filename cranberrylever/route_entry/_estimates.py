"""How long a target would take for one more request, between its reports of load.

It answers reports that are seconds old at an entry that sends a target a request now and then. What other
entries had there fades towards what is usual: the more requests this entry has sent there of late, the more
its own average counts, since callers are spread over the entries, and the fewer, the more the figure that
control has from all entries. Its own requests count exactly. The paper's rule adds each request sent since
the last report; here those that were answered since leave the sum again.
"""

import math

import attrs

from cranberrylever.route_entry._format import LoadSample

REPORT_LIFETIME_S = 0.4
"""Seconds after which the work of other entries in a report counts for a third."""

PACE_LIFETIME_S = 0.3
"""Seconds after which a target's momentary pace counts for a third; its machine is shared with others."""

AVERAGE_TIME_S = 1.0
"""Time over which an entry's own requests at a target are averaged."""

EVIDENCE_PER_ENTRY = 0.05
"""Own recent requests, per entry, from which an entry's average counts as much as what control has told.

The average is multiplied by the number of entries, and so is its error.
"""

USUAL_SHARE = 0.4
"""Share of a target's slots that is usually busy where control has told nothing."""

FAILURE_PENALTY_S = 0.15
FAILURE_LIFETIME_S = 1.0


@attrs.define
class TargetEstimate:
    """What one entry knows about the load of one life of a target; times are loop seconds."""

    slots: int
    speed: float = 1.0
    outstanding: int = 0
    others: float = 0.0
    slowdown: float = 1.0
    reported_at: float = -math.inf
    entries: int = 1
    average: float = 0.0
    averaged_at: float = 0.0
    begun: float = 0.0
    told_busy: float | None = None
    failures: float = 0.0
    failed_at: float = -math.inf

    def record_load(self, load: LoadSample, now: float) -> None:
        """Take over a report; the request that it came with has left the target."""
        self.slots = max(1, load.slots)
        self.others = max(0.0, float(load.running + load.waiting - max(0, self.outstanding - 1)))
        self.slowdown = load.slowdown
        self.reported_at = now

    def begin(self, now: float) -> None:
        """Count a request that is sent."""
        self._average(now)
        self.outstanding += 1
        self.begun += 1.0

    def end(self, now: float) -> None:
        """Count a request that is over."""
        self._average(now)
        self.outstanding -= 1

    def _average(self, now: float) -> None:
        weight = 1.0 - math.exp(-(now - self.averaged_at) / AVERAGE_TIME_S)
        self.average += weight * (self.outstanding - self.average)
        self.begun *= 1.0 - weight
        self.averaged_at = now

    def record_failure(self, now: float) -> None:
        """Note that a request failed; the target looks slower for a while."""
        self.failures = self.recent_failures(now) + 1.0
        self.failed_at = now

    def recent_failures(self, now: float) -> float:
        """Return the failures, of which old ones fade."""
        return self.failures * math.exp(-(now - self.failed_at) / FAILURE_LIFETIME_S)

    def busy(self, now: float) -> float:
        """Return the work that is probably at the target."""
        self._average(now)
        weight = math.exp(-(now - self.reported_at) / REPORT_LIFETIME_S)
        return self.outstanding + weight * self.others + (1.0 - weight) * self._usual_others()

    def _usual_others(self) -> float:
        """Return the work that other entries usually have at the target."""
        if self.entries == 1:
            return 0.0
        told = USUAL_SHARE * self.slots if self.told_busy is None else min(self.told_busy, self.slots)
        others = told * (self.entries - 1) / self.entries
        own = (self.entries - 1) * self.average
        needed = EVIDENCE_PER_ENTRY * self.entries
        return (needed * others + self.begun * own) / (needed + self.begun)

    def relative_service_time(self, now: float) -> float:
        """Return how long work takes at the target relative to a usual one."""
        weight = math.exp(-(now - self.reported_at) / PACE_LIFETIME_S)
        return (1.0 + (self.slowdown - 1.0) * weight) / max(0.1, self.speed)

    def wait(self, work: float, now: float) -> float:
        """Return the seconds that one more request would queue, when each one takes ``work`` seconds."""
        queued = max(0.0, self.busy(now) + 1.0 - self.slots)
        return queued * work * self.relative_service_time(now) / self.slots

    def completion(self, work: float, now: float) -> float:
        """Return the seconds until one more request of ``work`` seconds would be answered."""
        penalty = FAILURE_PENALTY_S * self.recent_failures(now)
        return self.wait(work, now) + work * self.relative_service_time(now) + penalty


class UsualWork:
    """Usual time of each route's requests at a target without a queue, in seconds."""

    FIRST_GUESS_S = 0.1
    WEIGHT = 0.02

    def __init__(self) -> None:
        self.times: dict[str, float] = {}

    def record(self, route: str, elapsed: float) -> None:
        """Add a request that did not queue."""
        previous = self.times.get(route, self.FIRST_GUESS_S)
        self.times[route] = previous + self.WEIGHT * (elapsed - previous)

    def of(self, route: str) -> float:
        """Return the usual time of a route."""
        return self.times.get(route, self.FIRST_GUESS_S)
