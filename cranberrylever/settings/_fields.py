"""Settings declared as attrs fields with a flag, an environment variable, a converter and a default."""

import os
from collections.abc import Callable, Iterator, Mapping
from typing import Any, TypeVar

import attrs

from cranberrylever.errors import SettingError
from cranberrylever.settings._values import ValueProblemError, boolean

S = TypeVar("S")

ENVIRONMENT_PREFIX = "CRANBERRYLEVER_"
_METADATA_KEY = "cranberrylever.setting"


@attrs.frozen
class _SettingMetadata:
    """Metadata of an attrs field that declares a setting."""

    help: str
    convert: Callable[[str], Any]
    flag: str
    environment: str
    is_list: bool


@attrs.frozen
class SettingField:
    """One setting of a program.

    ``path`` is the sequence of attribute names from the settings object to the value. ``default`` is
    ``attrs.NOTHING`` for a required setting. An ``is_list`` setting can be given several times or as a
    list separated by commas.
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
        """Whether the setting is a boolean flag."""
        return self.convert is boolean

    @property
    def is_required(self) -> bool:
        """Whether the setting has no default."""
        return self.default is attrs.NOTHING

    @property
    def metavar(self) -> str:
        """The placeholder for the value in ``--help``."""
        return self.path[-1].upper()

    @property
    def key(self) -> str:
        """The parameter name that the command line parser uses for the value."""
        return "_".join(self.path)

    @property
    def title(self) -> str:
        """Flag and environment variable, as shown in error messages."""
        return f"{self.flag} ({self.environment})"

    @property
    def default_text(self) -> str:
        """The default as text; empty when the setting is required or its default is empty."""
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
    """Return an attrs field that declares a setting.

    Args:
        help_text: Description for ``--help`` and the configuration page.
        convert: Converts the text of one value; raises ``ValueProblemError`` for an invalid text.
        default: The value when neither flag nor variable is set; without a default the setting is required.
        flag: Name of the flag (default: derived from the attribute name).
        environment: Name of the variable without its prefix (default: derived from the attribute name).
        is_list: Whether the setting is a tuple of values.
    """
    metadata = _SettingMetadata(help_text, convert, flag, environment, is_list)
    return attrs.field(default=default, metadata={_METADATA_KEY: metadata})


def setting_fields(settings_class: type, path: tuple[str, ...] = ()) -> Iterator[SettingField]:
    """Yield the settings of a settings class and of its nested settings classes."""
    for field in attrs.fields(settings_class):
        field_path = (*path, field.name)
        metadata: _SettingMetadata | None = field.metadata.get(_METADATA_KEY)
        if metadata is None:
            yield from setting_fields(field.type, field_path)
            continue
        yield SettingField(
            field_path,
            metadata.flag or "--" + "-".join(field_path).replace("_", "-"),
            ENVIRONMENT_PREFIX + (metadata.environment or "_".join(field_path).upper()),
            metadata.help,
            metadata.convert,
            field.default,
            metadata.is_list,
        )


def load_settings(
    settings_class: type[S], flag_values: Mapping[str, Any], environment: Mapping[str, str] = os.environ
) -> S:
    """Build a settings object from flags and environment variables; a flag takes precedence.

    Args:
        settings_class: The settings class.
        flag_values: Flag values by ``SettingField.key``; ``None`` or an empty sequence for a flag that was
            not given.
        environment: Environment variables.

    Returns:
        The settings. Each value is checked on its own, then all of them by the class's ``validate`` method.

    Raises:
        SettingError: A value is missing or invalid.
    """
    values: dict[tuple[str, ...], Any] = {}
    for field in setting_fields(settings_class):
        raw_value = flag_values.get(field.key)
        if raw_value is None or raw_value == [] or raw_value == ():
            raw_value = environment.get(field.environment)
        if raw_value is not None:
            values[field.path] = _convert_value(field, raw_value)
        elif field.is_required:
            raise SettingError(f"{field.title} is not set", f"set this value: {field.help.rstrip('.')}")
    settings = _build_settings(settings_class, (), values)
    validate = getattr(settings, "validate", None)
    if validate is not None:
        validate()
    return settings


def setting_conflict(
    settings_class: type, key: str, value: object, problem: str, remedy: str
) -> SettingError:
    """Return the error for a setting that conflicts with other settings."""
    field = next(field for field in setting_fields(settings_class) if field.key == key)
    return SettingError(f"{field.title} {value!r} {problem}", remedy)


def _convert_value(field: SettingField, raw_value: Any) -> Any:
    if isinstance(raw_value, bool):
        return raw_value
    if not field.is_list:
        return _convert_text(field, raw_value)
    texts = [raw_value] if isinstance(raw_value, str) else raw_value
    parts = [part.strip() for text in texts for part in text.split(",")]
    values = tuple(_convert_text(field, part) for part in parts if part)
    if not values:
        raise SettingError(f"{field.title} is empty", "give at least one value")
    return values


def _convert_text(field: SettingField, text: str) -> Any:
    try:
        return field.convert(text)
    except ValueProblemError as error:
        shown_value = "(hidden)" if field.key == "token" else repr(text)
        raise SettingError(f"{field.title} {shown_value} {error.problem}", error.remedy) from None


def _build_settings(
    settings_class: type, path: tuple[str, ...], values: Mapping[tuple[str, ...], Any]
) -> Any:
    arguments = {}
    for field in attrs.fields(settings_class):
        field_path = (*path, field.name)
        if _METADATA_KEY not in field.metadata:
            arguments[field.name] = _build_settings(field.type, field_path, values)
        elif field_path in values:
            arguments[field.name] = values[field_path]
    return settings_class(**arguments)
