"""Acceptance rules of tickets and the configuration in force."""

from collections.abc import Iterator

import attrs

from cranberrylever.errors import TicketConflictError, TicketError
from cranberrylever.tickets._digest import ticket_digest
from cranberrylever.tickets._schema import FailureDomainSpec, ServiceSpec, TargetSpec, Ticket

HISTORY_LIMIT = 1_000


@attrs.frozen
class TicketOutcome:
    """Answer to a submitted ticket.

    ``index`` is the log index at which the ticket was accepted, 0 when it was refused. ``repeated`` is true
    when the same ticket had been accepted before; the other fields are then those of the first answer.
    ``conflict`` tells a refusal because of the number from one because of the content.
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
    """An accepted ticket; ``text`` is its TOML as submitted."""

    number: int
    digest: str
    index: int
    text: str


@attrs.frozen
class ObjectStamp:
    """The last accepted ticket of one object; ``kind`` is ``service``, ``failure_domain`` or ``target``."""

    kind: str
    name: str
    number: int
    digest: str
    index: int


@attrs.frozen
class Configuration:
    """The accepted state of all objects, with the last accepted ticket of each."""

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
    """Accepted tickets and the state of every object that they describe.

    Args:
        history_limit: Number of ticket texts kept.

    Attributes:
        services: Services by name.
        failure_domains: Failure domains by name.
        directives: Operator directives by target id.
        last_number: Highest accepted number, 0 before the first ticket.
        history: The latest accepted tickets by number, in order of acceptance.
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
        """Return the answer to a ticket that changes nothing, or ``None`` when it can be accepted."""
        digest = ticket_digest(ticket)
        known = self._find(ticket, digest)
        if known is not None and known.digest == digest:
            return TicketOutcome(True, True, ticket.number, digest, known.index)
        if known is not None:
            return _refusal(ticket, digest, _other_content(ticket, known.digest))
        error = self._stale_object(ticket) or self._fixed_field(ticket)
        return None if error is None else _refusal(ticket, digest, error)

    def accept(self, index: int, ticket: Ticket, text: str) -> TicketOutcome:
        """Accept a ticket, all or nothing.

        Args:
            index: Log index of the command.
            ticket: The validated ticket.
            text: Its TOML, kept in the history.

        Returns:
            The outcome; a refused or repeated ticket changes nothing.
        """
        outcome = self.check(ticket)
        if outcome is not None:
            return outcome
        digest = ticket_digest(ticket)
        for kind, name in _touched(ticket):
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
        """Return the last accepted ticket of one object."""
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
        """Return the registry that ``record`` was made from."""
        registry = cls(history_limit)
        configuration = record.configuration
        registry.services = {spec.name: spec for spec in configuration.services}
        registry.failure_domains = {spec.name: spec for spec in configuration.failure_domains}
        registry.directives = {spec.id: spec for spec in configuration.directives}
        registry._stamps = {(stamp.kind, stamp.name): stamp for stamp in configuration.stamps}
        registry.last_number = configuration.last_number
        registry.history = {ticket.number: ticket for ticket in record.history}
        return registry

    def _find(self, ticket: Ticket, digest: str) -> AcceptedTicket | ObjectStamp | None:
        """Return an accepted ticket of the same number.

        The stamps answer for tickets that the history no longer holds; one of the same digest is preferred.
        """
        recent = self.history.get(ticket.number)
        if recent is not None:
            return recent
        stamps = [stamp for stamp in self._stamps.values() if stamp.number == ticket.number]
        same = [stamp for stamp in stamps if stamp.digest == digest]
        return next(iter(same or stamps), None)

    def _stale_object(self, ticket: Ticket) -> TicketError | None:
        for kind, name in _touched(ticket):
            stamp = self._stamps.get((kind, name))
            if stamp is not None and stamp.number >= ticket.number:
                return TicketConflictError(
                    f"number {ticket.number} is not higher than {stamp.number}, the last of {kind} {name!r}",
                    f"read the state in force and submit under a number above {self.last_number}",
                )
        return None

    def _fixed_field(self, ticket: Ticket) -> TicketError | None:
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


def _touched(ticket: Ticket) -> Iterator[tuple[str, str]]:
    """Yield kind and name of each object that a ticket touches."""
    yield from (("service", spec.name) for spec in ticket.service)
    yield from (("failure_domain", spec.name) for spec in ticket.failure_domain)
    yield from (("target", spec.id) for spec in ticket.target)


def _other_content(ticket: Ticket, accepted_digest: str) -> TicketError:
    return TicketConflictError(
        f"number {ticket.number} was accepted with other content, digest {accepted_digest}",
        "read that ticket and submit this content under a higher number",
    )


def _refusal(ticket: Ticket, digest: str, error: TicketError) -> TicketOutcome:
    return TicketOutcome(
        False,
        False,
        ticket.number,
        digest,
        error=error.message,
        remedy=error.remedy,
        conflict=isinstance(error, TicketConflictError),
    )
