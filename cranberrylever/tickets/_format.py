"""Writes the state of objects as the TOML of a ticket, and compares a ticket with that state."""

import json
from typing import Any

import attrs

from cranberrylever.tickets._digest import explicit_fields
from cranberrylever.tickets._registry import Configuration
from cranberrylever.tickets._schema import Ticket


def format_ticket(ticket: Ticket) -> str:
    """Return the TOML of a ticket; fields that have their default value are left out."""
    lines = [f"number = {ticket.number}"]
    for table in ("service", "failure_domain", "target"):
        for spec in getattr(ticket, table):
            lines += ["", f"[[{table}]]"]
            lines += [f"{name} = {_literal(value)}" for name, value in explicit_fields(spec)]
    return "\n".join(lines) + "\n"


def format_configuration(configuration: Configuration) -> str:
    """Return the accepted state of all objects as the TOML of the next ticket."""
    ticket = Ticket(
        configuration.last_number + 1,
        configuration.services,
        configuration.failure_domains,
        configuration.directives,
    )
    return format_ticket(ticket)


def describe_changes(ticket: Ticket, configuration: Configuration) -> list[str]:
    """Return one line for each difference between a ticket and the accepted state."""
    lines: list[str] = []
    for kind, specs, current, identity in (
        ("service", ticket.service, configuration.services, "name"),
        ("failure_domain", ticket.failure_domain, configuration.failure_domains, "name"),
        ("target", ticket.target, configuration.directives, "id"),
    ):
        accepted = {getattr(spec, identity): spec for spec in current}
        for spec in specs:
            name = getattr(spec, identity)
            lines += _spec_changes(f"{kind} {name}", accepted.get(name), spec)
    return lines


def _spec_changes(title: str, old: Any, new: Any) -> list[str]:
    if old is None:
        return [f"{title}: new"] + [
            f"{title}: {name} = {_literal(value)}" for name, value in explicit_fields(new)
        ]
    return [
        f"{title}: {field.name} {_literal(getattr(old, field.name))} -> {_literal(getattr(new, field.name))}"
        for field in attrs.fields(type(new))
        if getattr(old, field.name) != getattr(new, field.name)
    ]


def _literal(value: Any) -> str:
    """Return a value in TOML."""
    if isinstance(value, bool | str):
        return json.dumps(value)
    if isinstance(value, tuple):
        return f"[{', '.join(_literal(item) for item in value)}]"
    if attrs.has(type(value)):
        return "{ " + ", ".join(f"{name} = {_literal(item)}" for name, item in explicit_fields(value)) + " }"
    return repr(value)
