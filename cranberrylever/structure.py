"""Strict conversion of parsed TOML and JSON to attrs classes."""

from typing import Any, TypeVar, get_args

import attrs
import cattrs
from cattrs.gen import make_dict_structure_fn

T = TypeVar("T")

_TYPE_NAMES = {
    str: "a string",
    int: "an integer",
    float: "a number",
    bool: "true or false",
}


class _TypeMismatchError(ValueError):
    """The type of a value differs from the type of its field."""


class StructureError(Exception):
    """Parsed data does not match the class.

    Args:
        value_path: Path of the value, such as ``service[2].key.header``; empty for the whole document.
        problem: What is wrong with the value.
        known_fields: Names of the fields allowed at this path if the problem is an unknown field, else empty.
    """

    def __init__(self, value_path: str, problem: str, known_fields: tuple[str, ...] = ()) -> None:
        super().__init__(f"{value_path}: {problem}" if value_path else problem)
        self.value_path = value_path
        self.problem = problem
        self.known_fields = known_fields


def structure(data: Any, expected_type: type[T], *, ignore_unknown: bool = False) -> T:
    """Convert parsed data to an attrs class without type coercion.

    Args:
        data: The parsed document.
        expected_type: The attrs class.
        ignore_unknown: Ignore fields that the class does not have.

    Returns:
        An instance of ``expected_type``.

    Raises:
        StructureError: A field is missing, unknown or of the wrong type.
    """
    converter = _LENIENT_CONVERTER if ignore_unknown else _STRICT_CONVERTER
    try:
        return converter.structure(data, expected_type)
    except Exception as error:  # cattrs raises exception groups of arbitrary types
        raise _first_error(error, "") from None


def _make_converter(forbid_extra_keys: bool) -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=forbid_extra_keys)
    for expected_type in _TYPE_NAMES:
        converter.register_structure_hook(expected_type, _structure_scalar)
    converter.register_structure_hook_func(
        _is_tuple, lambda value, expected_type: _structure_tuple(converter, value, expected_type)
    )
    converter.register_structure_hook_factory(
        attrs.has, lambda expected_type: _make_class_hook(converter, expected_type)
    )
    return converter


def _make_class_hook(converter: cattrs.Converter, expected_type: type) -> Any:
    structure_fields = make_dict_structure_fn(
        expected_type, converter, _cattrs_forbid_extra_keys=converter.forbid_extra_keys
    )

    def hook(value: Any, _: type) -> Any:
        if not isinstance(value, dict):
            raise _type_mismatch("a table of fields", value)
        return structure_fields(value, expected_type)

    return hook


def _structure_scalar(value: Any, expected_type: type) -> Any:
    if expected_type is float and type(value) is int and abs(value) < 2**53:
        return float(value)
    if type(value) is not expected_type:
        raise _type_mismatch(_TYPE_NAMES[expected_type], value)
    return value


def _is_tuple(expected_type: Any) -> bool:
    return getattr(expected_type, "__origin__", None) is tuple


def _structure_tuple(converter: cattrs.Converter, value: Any, expected_type: Any) -> tuple:
    if not isinstance(value, list):
        raise _type_mismatch("a list", value)
    item_type = get_args(expected_type)[0]
    items = []
    for position, item in enumerate(value, start=1):
        try:
            items.append(converter.structure(item, item_type))
        except Exception as error:  # cattrs raises exception groups of arbitrary types
            raise _first_error(error, f"[{position}]") from None
    return tuple(items)


def _type_mismatch(expected: str, value: Any) -> _TypeMismatchError:
    found_text = repr(value)
    if len(found_text) > 40:
        found_text = found_text[:37] + "..."
    return _TypeMismatchError(f"must be {expected}, found {found_text}")


def _first_error(error: BaseException, value_path: str) -> StructureError:
    """Return the first leaf of the cattrs error tree with its path."""
    if isinstance(error, StructureError):
        return StructureError(_join_path(value_path, error.value_path), error.problem, error.known_fields)
    if isinstance(error, cattrs.ForbiddenExtraKeysError):
        name = _printable_name(sorted(str(field) for field in error.extra_fields)[0])
        known_fields = tuple(field.name for field in attrs.fields(error.cl))
        return StructureError(_join_path(value_path, name), "is not a known field", known_fields)
    if isinstance(error, BaseExceptionGroup):
        inner = error.exceptions[0]
        return _first_error(inner, _join_path(value_path, _field_name(inner)))
    if isinstance(error, KeyError):
        return StructureError(value_path, "is missing")
    return StructureError(value_path, str(error))


def _field_name(error: BaseException) -> str:
    for note in getattr(error, "__notes__", ()):
        if isinstance(note, cattrs.AttributeValidationNote):
            return note.name
    return ""


def _printable_name(name: str) -> str:
    """Return a field name from the document, escaped and truncated unless it is a short identifier."""
    return name if name.isidentifier() and len(name) <= 64 else repr(name[:64])


def _join_path(value_path: str, name: str) -> str:
    if not value_path or not name or name.startswith("["):
        return value_path + name
    return f"{value_path}.{name}"


_STRICT_CONVERTER = _make_converter(forbid_extra_keys=True)
_LENIENT_CONVERTER = _make_converter(forbid_extra_keys=False)
