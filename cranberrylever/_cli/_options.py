"""Command line options generated from the settings classes."""

import functools
import inspect
from collections.abc import Callable
from typing import Annotated, Any

import typer

from cranberrylever.settings import SettingField, load_settings, setting_fields


def with_settings(settings_class: type) -> Callable[[Callable[..., Any]], Callable[..., Any]]:
    """Return a decorator that adds one option per setting to a command.

    Args:
        settings_class: The settings class. The command receives an instance of it as its first argument.
    """
    fields = tuple(setting_fields(settings_class))

    def decorate(command: Callable[..., Any]) -> Callable[..., Any]:
        command_parameters = list(inspect.signature(command).parameters.values())[1:]
        setting_parameters = [_option_parameter(field) for field in fields]

        @functools.wraps(command)
        def wrapper(**values: Any) -> Any:
            flag_values = {field.key: values.pop(field.key) for field in fields}
            return command(load_settings(settings_class, flag_values), **values)

        parameters = [
            parameter.replace(kind=inspect.Parameter.KEYWORD_ONLY)
            for parameter in (*command_parameters, *setting_parameters)
        ]
        wrapper.__signature__ = inspect.Signature(parameters)
        wrapper.__annotations__ = {parameter.name: parameter.annotation for parameter in parameters}
        del wrapper.__wrapped__
        return wrapper

    return decorate


def _option_parameter(field: SettingField) -> inspect.Parameter:
    """Return the option of one setting; ``load_settings`` reads the environment variable."""
    help_text = f"{field.help} [env var: {field.environment}]"
    if field.default_text:
        help_text += f" [default: {field.default_text}]"
    flag, value_type = field.flag, str
    if field.is_boolean:
        flag, value_type = f"{field.flag}/--no-{field.flag.removeprefix('--')}", bool
    elif field.is_list:
        value_type = list[str]
    metavar = None if field.is_boolean else field.metavar
    option = typer.Option(flag, help=help_text, show_default=False, metavar=metavar)
    return inspect.Parameter(
        field.key,
        inspect.Parameter.KEYWORD_ONLY,
        default=None,
        annotation=Annotated[value_type | None, option],
    )
