"""Change tickets: schema, validation and acceptance rules."""

from cranberrylever.tickets._digest import canonical_content, ticket_digest
from cranberrylever.tickets._format import describe_changes, format_configuration, format_ticket
from cranberrylever.tickets._parse import MAX_TICKET_BYTES, parse_ticket
from cranberrylever.tickets._registry import (
    HISTORY_LIMIT,
    AcceptedTicket,
    Configuration,
    ObjectStamp,
    TicketOutcome,
    TicketRegistry,
    TicketRegistryRecord,
)
from cranberrylever.tickets._schema import FailureDomainSpec, ServiceSpec, TargetSpec, Ticket

__all__ = [
    "HISTORY_LIMIT",
    "MAX_TICKET_BYTES",
    "AcceptedTicket",
    "Configuration",
    "FailureDomainSpec",
    "ObjectStamp",
    "ServiceSpec",
    "TargetSpec",
    "Ticket",
    "TicketOutcome",
    "TicketRegistry",
    "TicketRegistryRecord",
    "canonical_content",
    "describe_changes",
    "format_configuration",
    "format_ticket",
    "parse_ticket",
    "ticket_digest",
]
