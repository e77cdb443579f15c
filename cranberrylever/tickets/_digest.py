"""Canonical form of a ticket and its digest."""

import hashlib
import json
from typing import Any

import attrs

from cranberrylever.tickets._schema import Ticket


def ticket_digest(ticket: Ticket) -> str:
    """Return the SHA-256 digest of the canonical content as 64 hexadecimal digits."""
    return hashlib.sha256(canonical_content(ticket).encode()).hexdigest()


def canonical_content(ticket: Ticket) -> str:
    """Return the content as JSON that is independent of order, layout and comments of the TOML text.

    Fields with their default value are omitted, so that a later version with an additional field computes
    the same digest for an old ticket.
    """
    content = {
        "number": ticket.number,
        "service": _sorted_tables(ticket.service, "name"),
        "failure_domain": _sorted_tables(ticket.failure_domain, "name"),
        "target": _sorted_tables(ticket.target, "id"),
    }
    return json.dumps(content, sort_keys=True, separators=(",", ":"))


def _sorted_tables(specs: tuple[Any, ...], id_field: str) -> list[dict[str, Any]]:
    return [_without_defaults(spec) for spec in sorted(specs, key=lambda spec: getattr(spec, id_field))]


def _without_defaults(spec: Any) -> dict[str, Any]:
    return {
        name: _without_defaults(value) if attrs.has(type(value)) else value
        for name, value in non_default_fields(spec)
    }


def non_default_fields(spec: Any) -> list[tuple[str, Any]]:
    """Return name and value of each field that has no default or differs from its default."""
    fields = []
    for field in attrs.fields(type(spec)):
        value = getattr(spec, field.name)
        default = field.default.factory() if isinstance(field.default, attrs.Factory) else field.default
        if value != default:
            fields.append((field.name, value))
    return fields
