"""Admission of requests at a target: run, queue or shed."""

import enum

import attrs


class Decision(enum.Enum):
    """Admission decision about an arriving request."""

    RUN = "run"
    QUEUE = "queue"
    SHED = "shed"


@attrs.define
class Admission:
    """Slots, queue and cold state of one target.

    A cold target accepts ``cold_capacity`` concurrent requests, queued ones included. A request beyond that
    is shed and counted in ``overloads``. ``most_work`` is the highest number of requests held at once.
    ``cold_peak`` is the highest number of requests offered at once while cold, the shed request included.
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
        """Count an arriving request and return the decision about it."""
        held_requests = self.running + self.queued
        if self.cold:
            self.cold_peak = max(self.cold_peak, held_requests + 1)
            if held_requests >= self.cold_capacity:
                self.overloads += 1
                self.shed += 1
                return Decision.SHED
        if self.running < self.slots and self.queued == 0:
            self.running += 1
            self.started += 1
            self.most_work = max(self.most_work, held_requests + 1)
            return Decision.RUN
        if self.queued < self.queue_limit:
            self.queued += 1
            self.most_work = max(self.most_work, held_requests + 1)
            return Decision.QUEUE
        self.shed += 1
        return Decision.SHED

    def start_queued(self) -> None:
        """Move one request from the queue to a slot."""
        self.queued -= 1
        self.running += 1
        self.started += 1

    def leave_queue(self) -> None:
        """Remove one request from the queue without starting it."""
        self.queued -= 1

    def can_start_queued(self) -> bool:
        """Return whether a request is queued and a slot is free."""
        return self.queued > 0 and self.running < self.slots

    def finish(self, completed: bool) -> None:
        """Free a slot; a completed request counts towards ``warmup_requests``."""
        self.running -= 1
        if self.cold and completed:
            self.warmed += 1
            if self.warmed >= self.warmup_requests:
                self.cold = False

    def become_cold(self) -> None:
        """Set the target to cold and restart the count of completed requests."""
        self.cold = True
        self.warmed = 0
