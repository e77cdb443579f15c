"""Rules for accepting tickets, and the accepted configuration."""

from collections.abc import Iterator

import attrs

from cranberrylever.errors import TicketConflictError, TicketError
from cranberrylever.tickets._digest import ticket_digest
from cranberrylever.tickets._schema import FailureDomainSpec, ServiceSpec, TargetSpec, Ticket

HISTORY_LIMIT = 1_000


@attrs.frozen
class TicketOutcome:
    """Result of submitting a ticket.

    ``index`` is the log index at which the ticket was accepted, 0 if it was refused. ``repeated`` is true if
    the same ticket was accepted before; the other fields are then those of the first result. ``conflict``
    distinguishes a refusal because of the ticket's number from one because of its content.
    """

    accepted: bool
    repeated: bool
    number: int
    digest: str
    index: int = 0
    error: str = ""
    remedy: str = ""
    conflict: bool = False


@attrs.frozen
class AcceptedTicket:
    """An accepted ticket; ``text`` is the submitted TOML."""

    number: int
    digest: str
    index: int
    text: str


@attrs.frozen
class ObjectStamp:
    """Last accepted ticket of one object; ``kind`` is ``service``, ``failure_domain`` or ``target``."""

    kind: str
    name: str
    number: int
    digest: str
    index: int


@attrs.frozen
class Configuration:
    """Accepted state of all objects, with the last accepted ticket of each."""

    services: tuple[ServiceSpec, ...] = ()
    failure_domains: tuple[FailureDomainSpec, ...] = ()
    directives: tuple[TargetSpec, ...] = ()
    stamps: tuple[ObjectStamp, ...] = ()
    last_number: int = 0


@attrs.frozen
class TicketRegistryRecord:
    """Snapshot form of ``TicketRegistry``."""

    configuration: Configuration = attrs.field(factory=Configuration)
    history: tuple[AcceptedTicket, ...] = ()


class TicketRegistry:
    """Accepted tickets and the state of every object that they configure.

    Args:
        history_limit: Maximum number of tickets retained in the history.

    Attributes:
        services: Services by name.
        failure_domains: Failure domains by name.
        directives: Directives of operators by target id.
        last_number: Highest accepted number, 0 before the first ticket.
        history: Latest accepted tickets by number, in order of acceptance.
    """

    def __init__(self, history_limit: int = HISTORY_LIMIT) -> None:
        self.services: dict[str, ServiceSpec] = {}
        self.failure_domains: dict[str, FailureDomainSpec] = {}
        self.directives: dict[str, TargetSpec] = {}
        self.last_number = 0
        self.history: dict[int, AcceptedTicket] = {}
        self.history_limit = history_limit
        self._stamps: dict[tuple[str, str], ObjectStamp] = {}

    def check(self, ticket: Ticket) -> TicketOutcome | None:
        """Return the outcome of a refused or repeated ticket, or ``None`` if the ticket can be accepted."""
        digest = ticket_digest(ticket)
        accepted = self._find_accepted(ticket, digest)
        if accepted is not None and accepted.digest == digest:
            return TicketOutcome(True, True, ticket.number, digest, accepted.index)
        if accepted is not None:
            return _refused_outcome(ticket, digest, _content_conflict(ticket, accepted.digest))
        error = self._check_numbers(ticket) or self._check_immutable_fields(ticket)
        return None if error is None else _refused_outcome(ticket, digest, error)

    def accept(self, index: int, ticket: Ticket, text: str) -> TicketOutcome:
        """Accept all changes of a ticket or refuse the ticket.

        Args:
            index: Log index of the command.
            ticket: The validated ticket.
            text: TOML of the ticket, retained in the history.

        Returns:
            The outcome; a refused or repeated ticket changes nothing.
        """
        outcome = self.check(ticket)
        if outcome is not None:
            return outcome
        digest = ticket_digest(ticket)
        for kind, name in _changed_objects(ticket):
            self._stamps[kind, name] = ObjectStamp(kind, name, ticket.number, digest, index)
        self.services.update((spec.name, spec) for spec in ticket.service)
        self.failure_domains.update((spec.name, spec) for spec in ticket.failure_domain)
        self.directives.update((spec.id, spec) for spec in ticket.target)
        self.last_number = max(self.last_number, ticket.number)
        self.history[ticket.number] = AcceptedTicket(ticket.number, digest, index, text)
        while len(self.history) > self.history_limit:
            del self.history[next(iter(self.history))]
        return TicketOutcome(True, False, ticket.number, digest, index)

    def stamp(self, kind: str, name: str) -> ObjectStamp | None:
        """Return the last accepted ticket of one object, or ``None``."""
        return self._stamps.get((kind, name))

    def configuration(self) -> Configuration:
        """Return the accepted state of all objects."""
        return Configuration(
            tuple(self.services.values()),
            tuple(self.failure_domains.values()),
            tuple(self.directives.values()),
            tuple(self._stamps.values()),
            self.last_number,
        )

    def to_record(self) -> TicketRegistryRecord:
        """Return the snapshot form."""
        return TicketRegistryRecord(self.configuration(), tuple(self.history.values()))

    @classmethod
    def from_record(
        cls, record: TicketRegistryRecord, history_limit: int = HISTORY_LIMIT
    ) -> "TicketRegistry":
        """Restore a registry from its snapshot form."""
        registry = cls(history_limit)
        configuration = record.configuration
        registry.services = {spec.name: spec for spec in configuration.services}
        registry.failure_domains = {spec.name: spec for spec in configuration.failure_domains}
        registry.directives = {spec.id: spec for spec in configuration.directives}
        registry._stamps = {(stamp.kind, stamp.name): stamp for stamp in configuration.stamps}
        registry.last_number = configuration.last_number
        registry.history = {ticket.number: ticket for ticket in record.history}
        return registry

    def _find_accepted(self, ticket: Ticket, digest: str) -> AcceptedTicket | ObjectStamp | None:
        """Return an accepted ticket with the same number.

        For tickets that are no longer in the history the stamps of their objects are searched; one with the
        same digest is preferred.
        """
        retained = self.history.get(ticket.number)
        if retained is not None:
            return retained
        stamps = [stamp for stamp in self._stamps.values() if stamp.number == ticket.number]
        same_digest = [stamp for stamp in stamps if stamp.digest == digest]
        return next(iter(same_digest or stamps), None)

    def _check_numbers(self, ticket: Ticket) -> TicketError | None:
        for kind, name in _changed_objects(ticket):
            stamp = self._stamps.get((kind, name))
            if stamp is not None and stamp.number >= ticket.number:
                return TicketConflictError(
                    f"number {ticket.number} is not higher than {stamp.number}, the last of {kind} {name!r}",
                    f"read the state in force and submit the ticket under a number above {self.last_number}",
                )
        return None

    def _check_immutable_fields(self, ticket: Ticket) -> TicketError | None:
        for spec in ticket.service:
            current = self.services.get(spec.name)
            if current is None:
                continue
            for field in ("kind", "shards"):
                old, new = getattr(current, field), getattr(spec, field)
                if old != new:
                    return TicketError(
                        f"service {spec.name!r}: {field} can't change from {old!r} to {new!r}",
                        f"keep {field} = {old!r} or create a service under another name",
                    )
        return None


def _changed_objects(ticket: Ticket) -> Iterator[tuple[str, str]]:
    """Yield the kind and name of each object that a ticket changes."""
    yield from (("service", spec.name) for spec in ticket.service)
    yield from (("failure_domain", spec.name) for spec in ticket.failure_domain)
    yield from (("target", spec.id) for spec in ticket.target)


def _content_conflict(ticket: Ticket, accepted_digest: str) -> TicketError:
    return TicketConflictError(
        f"number {ticket.number} was accepted with other content, digest {accepted_digest}",
        "read that ticket and submit this content under a higher number",
    )


def _refused_outcome(ticket: Ticket, digest: str, error: TicketError) -> TicketOutcome:
    return TicketOutcome(
        False,
        False,
        ticket.number,
        digest,
        error=error.message,
        remedy=error.remedy,
        conflict=isinstance(error, TicketConflictError),
    )
