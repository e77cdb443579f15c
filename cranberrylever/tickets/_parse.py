"""Parses and validates tickets in TOML."""

import re
import tomllib
from collections.abc import Iterator

from result import Err, Ok, Result

from cranberrylever.errors import TicketError
from cranberrylever.names import NAME_REMEDY, is_name
from cranberrylever.routing import KeySource
from cranberrylever.structure import StructureError, structure
from cranberrylever.tickets._schema import ServiceSpec, Ticket

MAX_TICKET_BYTES = 1_048_576
MAX_TICKET_NUMBER = 2**63 - 1
MAX_SHARDS = 65_536
MAX_DEADLINE_MS = 600_000
MAX_BODY_BYTES = 2**30
MAX_KEY_SEGMENT = 16
MAX_RULES = 256

_HEADER_NAME = re.compile(r"[A-Za-z0-9!#$%&'*+.^_`|~-]{1,64}")
_METHOD_RULE = re.compile(r"[A-Z]{1,16} /[!-~]{0,255}")
_TABLES = ("service", "failure_domain", "target")
_KINDS = ("keyed", "pooled")
_DOMAIN_STATES = ("active", "withdrawn")


def parse_ticket(text: str) -> Result[Ticket, TicketError]:
    """Parse and validate a ticket.

    Args:
        text: The TOML document.

    Returns:
        The ticket, or an error whose one-line text names the field and the remedy.
    """
    if len(text.encode("utf-8", "replace")) > MAX_TICKET_BYTES:
        return Err(
            TicketError(
                f"the ticket is larger than {MAX_TICKET_BYTES} bytes", "split it into one ticket per object"
            )
        )
    try:
        data = tomllib.loads(text)
    except (ValueError, RecursionError) as error:
        problem = " ".join(str(error).split())
        return Err(TicketError(f"the ticket is not valid TOML: {problem}", "correct the TOML syntax"))
    if "number" not in data:
        return Err(TicketError("number: is missing", "add a line such as 'number = 12' at the top"))
    try:
        ticket = structure(data, Ticket)
    except StructureError as error:
        return Err(TicketError(f"{error.value_path}: {error.problem}", _structure_remedy(error)))
    error = next(_ticket_errors(ticket), None)
    return Ok(ticket) if error is None else Err(error)


def _structure_remedy(error: StructureError) -> str:
    if error.known_fields:
        return f"remove it or use one of {', '.join(error.known_fields)}"
    if error.problem == "is missing":
        return "add it"
    if error.value_path in _TABLES:
        return f"write the table as [[{error.value_path}]]"
    return "correct the value (docs/tickets.md lists the type of each field)"


def _ticket_errors(ticket: Ticket) -> Iterator[TicketError]:
    """Yield the errors of a ticket whose fields have the right types."""
    if not 1 <= ticket.number <= MAX_TICKET_NUMBER:
        yield TicketError(f"number: {ticket.number} is out of range", f"use 1 to {MAX_TICKET_NUMBER}")
    if not (ticket.service or ticket.failure_domain or ticket.target):
        yield TicketError(
            "the ticket changes no object", "add a [[service]], [[failure_domain]] or [[target]] table"
        )
    yield from _name_errors("service", "name", [spec.name for spec in ticket.service])
    yield from _name_errors("failure_domain", "name", [spec.name for spec in ticket.failure_domain])
    yield from _name_errors("target", "id", [spec.id for spec in ticket.target])
    for position, spec in enumerate(ticket.service, start=1):
        yield from _service_errors(f"service[{position}]", spec)
    for position, domain in enumerate(ticket.failure_domain, start=1):
        if domain.state not in _DOMAIN_STATES:
            yield _invalid_value(f"failure_domain[{position}].state", domain.state, "use active or withdrawn")


def _name_errors(table: str, field: str, names: list[str]) -> Iterator[TicketError]:
    seen: set[str] = set()
    for position, name in enumerate(names, start=1):
        field_path = f"{table}[{position}].{field}"
        if not is_name(name):
            yield _invalid_value(field_path, name, NAME_REMEDY)
        if name in seen:
            yield TicketError(
                f"{field_path}: {name!r} occurs twice", f"keep one [[{table}]] table for each {field}"
            )
        seen.add(name)


def _service_errors(field_path: str, spec: ServiceSpec) -> Iterator[TicketError]:
    if spec.kind not in _KINDS:
        yield _invalid_value(f"{field_path}.kind", spec.kind, "use keyed or pooled")
    default = ServiceSpec(spec.name, spec.kind)
    if spec.kind == "pooled" and spec.shards != default.shards:
        yield _invalid_value(
            f"{field_path}.shards", spec.shards, "remove it, because only keyed services have shards"
        )
    if spec.kind == "pooled" and spec.key != default.key:
        yield TicketError(f"{field_path}.key: a pooled service has no key", "remove it or set kind to keyed")
    if not _is_power_of_two(spec.shards) or spec.shards > MAX_SHARDS:
        yield _invalid_value(
            f"{field_path}.shards", spec.shards, f"use a power of two from 1 to {MAX_SHARDS}"
        )
    yield from _key_errors(f"{field_path}.key", spec.key)
    if not 1 <= spec.deadline_ms <= MAX_DEADLINE_MS:
        yield _invalid_value(
            f"{field_path}.deadline_ms", spec.deadline_ms, f"use 1 to {MAX_DEADLINE_MS} milliseconds"
        )
    if not 0 <= spec.max_body_bytes <= MAX_BODY_BYTES:
        yield _invalid_value(
            f"{field_path}.max_body_bytes", spec.max_body_bytes, f"use 0 to {MAX_BODY_BYTES} bytes"
        )
    for field in ("retry_ratio", "hedge_ratio"):
        ratio = getattr(spec, field)
        if not 0.0 <= ratio <= 1.0:
            yield _invalid_value(f"{field_path}.{field}", ratio, "use 0.0 to 1.0")
    yield from _rule_errors(field_path, spec)


def _key_errors(field_path: str, key: KeySource) -> Iterator[TicketError]:
    if not 2 <= key.segment <= MAX_KEY_SEGMENT:
        yield _invalid_value(
            f"{field_path}.segment", key.segment, f"use 2 to {MAX_KEY_SEGMENT} (segment 1 names the service)"
        )
    if key.header and not _HEADER_NAME.fullmatch(key.header):
        yield _invalid_value(f"{field_path}.header", key.header, "use the name of an HTTP header")
    if key.header and key.segment != KeySource().segment:
        yield TicketError(f"{field_path}: both header and segment are set", "keep one of them")


def _rule_errors(field_path: str, spec: ServiceSpec) -> Iterator[TicketError]:
    for field in ("idempotent", "non_idempotent"):
        rules = getattr(spec, field)
        if len(rules) > MAX_RULES:
            yield TicketError(f"{field_path}.{field}: has {len(rules)} rules", f"keep at most {MAX_RULES}")
        for position, rule in enumerate(rules, start=1):
            if not _METHOD_RULE.fullmatch(rule):
                yield _invalid_value(
                    f"{field_path}.{field}[{position}]", rule, "use 'METHOD /path', such as 'POST /search'"
                )
    conflicting = sorted(set(spec.idempotent) & set(spec.non_idempotent))
    if conflicting:
        yield TicketError(
            f"{field_path}: {conflicting[0]!r} is listed as idempotent and as non_idempotent",
            "remove it from one list",
        )


def _is_power_of_two(value: int) -> bool:
    return value > 0 and value & (value - 1) == 0


def _invalid_value(field_path: str, value: object, remedy: str) -> TicketError:
    value_text = repr(value)
    if len(value_text) > 80:
        value_text = value_text[:77] + "..."
    return TicketError(f"{field_path}: {value_text} is not allowed", remedy)
