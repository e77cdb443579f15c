"""Rule that decides whether a target runs, queues or sheds an arriving request."""

import enum

import attrs


class Decision(enum.Enum):
    """What happens to an arriving request."""

    RUN = "run"
    QUEUE = "queue"
    SHED = "shed"


@attrs.define
class Admission:
    """Slots, queue and cold start of one target.

    A cold target carries ``cold_capacity`` requests at once, queued ones included. One more is an overload:
    it is shed and counted. ``cold_peak`` is the most work offered at once while cold, shed work included.
    """

    slots: int
    queue_limit: int
    cold_capacity: int
    warmup_requests: int
    cold: bool = False
    running: int = 0
    queued: int = 0
    warmed: int = 0
    overloads: int = 0
    shed: int = 0
    started: int = 0
    most_work: int = 0
    cold_peak: int = 0

    def arrive(self) -> Decision:
        """Count an arriving request and decide about it."""
        held = self.running + self.queued
        if self.cold:
            self.cold_peak = max(self.cold_peak, held + 1)
            if held >= self.cold_capacity:
                self.overloads += 1
                self.shed += 1
                return Decision.SHED
        if self.running < self.slots and self.queued == 0:
            self.running += 1
            self.started += 1
            self.most_work = max(self.most_work, held + 1)
            return Decision.RUN
        if self.queued < self.queue_limit:
            self.queued += 1
            self.most_work = max(self.most_work, held + 1)
            return Decision.QUEUE
        self.shed += 1
        return Decision.SHED

    def start_queued(self) -> None:
        """Move one request from the queue to a slot."""
        self.queued -= 1
        self.running += 1
        self.started += 1

    def leave_queue(self) -> None:
        """Remove one request from the queue without running it."""
        self.queued -= 1

    def has_free_slot(self) -> bool:
        """Return whether a queued request may start."""
        return self.queued > 0 and self.running < self.slots

    def finish(self, completed: bool) -> None:
        """Free a slot; a completed request counts towards the end of the cold start."""
        self.running -= 1
        if self.cold and completed:
            self.warmed += 1
            if self.warmed >= self.warmup_requests:
                self.cold = False

    def turn_cold(self) -> None:
        """Start a new cold start without notice."""
        self.cold = True
        self.warmed = 0
