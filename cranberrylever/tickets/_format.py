"""Formats tickets and configurations as TOML, and describes the changes of a ticket."""

import json
from typing import Any

import attrs

from cranberrylever.tickets._digest import non_default_fields
from cranberrylever.tickets._registry import Configuration
from cranberrylever.tickets._schema import Ticket


def format_ticket(ticket: Ticket) -> str:
    """Return the TOML of a ticket; fields with their default value are omitted."""
    lines = [f"number = {ticket.number}"]
    for table in ("service", "failure_domain", "target"):
        for spec in getattr(ticket, table):
            lines += ["", f"[[{table}]]"]
            lines += [f"{name} = {_to_toml(value)}" for name, value in non_default_fields(spec)]
    return "\n".join(lines) + "\n"


def format_configuration(configuration: Configuration) -> str:
    """Return the accepted state of all objects as the TOML of a ticket with the next number."""
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
    for kind, specs, current, id_field in (
        ("service", ticket.service, configuration.services, "name"),
        ("failure_domain", ticket.failure_domain, configuration.failure_domains, "name"),
        ("target", ticket.target, configuration.directives, "id"),
    ):
        accepted = {getattr(spec, id_field): spec for spec in current}
        for spec in specs:
            name = getattr(spec, id_field)
            lines += _describe_spec_changes(f"{kind} {name}", accepted.get(name), spec)
    return lines


def _describe_spec_changes(title: str, old: Any, new: Any) -> list[str]:
    if old is None:
        return [f"{title}: new"] + [
            f"{title}: {name} = {_to_toml(value)}" for name, value in non_default_fields(new)
        ]
    return [
        f"{title}: {field.name} {_to_toml(getattr(old, field.name))} -> {_to_toml(getattr(new, field.name))}"
        for field in attrs.fields(type(new))
        if getattr(old, field.name) != getattr(new, field.name)
    ]


def _to_toml(value: Any) -> str:
    """Return a value as TOML."""
    if isinstance(value, bool | str):
        return json.dumps(value)
    if isinstance(value, tuple):
        return f"[{', '.join(_to_toml(item) for item in value)}]"
    if attrs.has(type(value)):
        return (
            "{ " + ", ".join(f"{name} = {_to_toml(item)}" for name, item in non_default_fields(value)) + " }"
        )
    return repr(value)
