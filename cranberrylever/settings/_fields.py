"""Description of settings: flag, environment variable, conversion and default of each attrs field."""

import os
from collections.abc import Callable, Iterator, Mapping
from typing import Any, TypeVar

import attrs

from cranberrylever.errors import SettingError
from cranberrylever.settings._values import ValueProblemError, boolean

S = TypeVar("S")

ENVIRONMENT_PREFIX = "CRANBERRYLEVER_"
_KEY = "cranberrylever.setting"


@attrs.frozen
class _FieldNote:
    help: str
    convert: Callable[[str], Any]
    flag: str
    environment: str
    is_list: bool


@attrs.frozen
class SettingField:
    """One setting of a program.

    ``path`` holds the attribute names from the settings object down to the value. ``default`` is
    ``attrs.NOTHING`` when the setting is required. ``is_list`` settings may be given several times and
    separated by commas.
    """

    path: tuple[str, ...]
    flag: str
    environment: str
    help: str
    convert: Callable[[str], Any]
    default: Any
    is_list: bool

    @property
    def is_boolean(self) -> bool:
        """Whether the setting is a switch."""
        return self.convert is boolean

    @property
    def is_required(self) -> bool:
        """Whether the setting has no default."""
        return self.default is attrs.NOTHING

    @property
    def metavar(self) -> str:
        """The placeholder of the value in ``--help``."""
        return self.path[-1].upper()

    @property
    def key(self) -> str:
        """The name under which a command line parser passes the value."""
        return "_".join(self.path)

    @property
    def title(self) -> str:
        """Flag and environment variable, as error messages name them."""
        return f"{self.flag} ({self.environment})"

    @property
    def default_text(self) -> str:
        """The default as one would write it, empty for a required or empty one."""
        if self.is_required or self.default == "":
            return ""
        return str(self.default).lower() if self.is_boolean else f"{self.default}"


def setting(
    help_text: str,
    convert: Callable[[str], Any],
    default: Any = attrs.NOTHING,
    *,
    flag: str = "",
    environment: str = "",
    is_list: bool = False,
) -> Any:
    """Return an attrs field with the description of a setting.

    Args:
        help_text: Description for ``--help`` and the documentation.
        convert: Converts the text of one value; raises ``ValueProblemError``.
        default: The value when neither flag nor variable is given; required without one.
        flag: Name of the flag (default: from the attribute's name).
        environment: Name of the variable without prefix (default: from the attribute's name).
        is_list: Whether the setting holds a tuple of values.
    """
    note = _FieldNote(help_text, convert, flag, environment, is_list)
    return attrs.field(default=default, metadata={_KEY: note})


def setting_fields(kind: type, path: tuple[str, ...] = ()) -> Iterator[SettingField]:
    """Yield the settings of a class, those of nested classes included."""
    for field in attrs.fields(kind):
        inner_path = (*path, field.name)
        note: _FieldNote | None = field.metadata.get(_KEY)
        if note is None:
            yield from setting_fields(field.type, inner_path)
            continue
        yield SettingField(
            inner_path,
            note.flag or "--" + "-".join(inner_path).replace("_", "-"),
            ENVIRONMENT_PREFIX + (note.environment or "_".join(inner_path).upper()),
            note.help,
            note.convert,
            field.default,
            note.is_list,
        )


def load_settings(kind: type[S], given: Mapping[str, Any], environment: Mapping[str, str] = os.environ) -> S:
    """Build a settings object from flags and environment variables; a flag takes precedence.

    Args:
        kind: The settings class.
        given: Values of the flags by ``SettingField.key``; ``None`` or empty when a flag was not given.
        environment: Environment variables.

    Returns:
        The settings, each value checked by itself; ``validate`` of the class checks them together.

    Raises:
        SettingError: A value is missing or wrong.
    """
    values: dict[tuple[str, ...], Any] = {}
    for field in setting_fields(kind):
        raw = given.get(field.key)
        if raw is None or raw == [] or raw == ():
            raw = environment.get(field.environment)
        if raw is not None:
            values[field.path] = _convert(field, raw)
        elif field.is_required:
            raise SettingError(f"{field.title} is not set", f"give this value: {field.help.rstrip('.')}")
    settings = _build(kind, (), values)
    validate = getattr(settings, "validate", None)
    if validate is not None:
        validate()
    return settings


def wrong_setting(kind: type, key: str, value: object, problem: str, remedy: str) -> SettingError:
    """Return the error for a setting that is wrong in combination with others."""
    field = next(field for field in setting_fields(kind) if field.key == key)
    return SettingError(f"{field.title} {value!r} {problem}", remedy)


def _convert(field: SettingField, raw: Any) -> Any:
    if isinstance(raw, bool):
        return raw
    if not field.is_list:
        return _convert_text(field, raw)
    texts = [raw] if isinstance(raw, str) else raw
    parts = [part.strip() for text in texts for part in text.split(",")]
    values = tuple(_convert_text(field, part) for part in parts if part)
    if not values:
        raise SettingError(f"{field.title} is empty", "give at least one value")
    return values


def _convert_text(field: SettingField, text: str) -> Any:
    try:
        return field.convert(text)
    except ValueProblemError as error:
        shown = "(hidden)" if field.key == "token" else repr(text)
        raise SettingError(f"{field.title} {shown} {error.problem}", error.remedy) from None


def _build(kind: type, path: tuple[str, ...], values: Mapping[tuple[str, ...], Any]) -> Any:
    arguments = {}
    for field in attrs.fields(kind):
        inner_path = (*path, field.name)
        if _KEY not in field.metadata:
            arguments[field.name] = _build(field.type, inner_path, values)
        elif inner_path in values:
            arguments[field.name] = values[inner_path]
    return kind(**arguments)
