"""Command line options made from the settings classes."""

import functools
import inspect
from collections.abc import Callable
from typing import Annotated, Any

import typer

from cranberrylever.settings import SettingField, load_settings, setting_fields


def with_settings(kind: type) -> Callable[[Callable[..., Any]], Callable[..., Any]]:
    """Return a decorator that gives a command one option per setting.

    Args:
        kind: The settings class. The command receives an instance as its first argument.
    """
    fields = tuple(setting_fields(kind))

    def decorate(command: Callable[..., Any]) -> Callable[..., Any]:
        own_parameters = list(inspect.signature(command).parameters.values())[1:]
        setting_parameters = [_parameter(field) for field in fields]

        @functools.wraps(command)
        def run(**values: Any) -> Any:
            given = {field.key: values.pop(field.key) for field in fields}
            return command(load_settings(kind, given), **values)

        parameters = [
            parameter.replace(kind=inspect.Parameter.KEYWORD_ONLY)
            for parameter in (*own_parameters, *setting_parameters)
        ]
        run.__signature__ = inspect.Signature(parameters)
        run.__annotations__ = {parameter.name: parameter.annotation for parameter in parameters}
        del run.__wrapped__
        return run

    return decorate


def _parameter(field: SettingField) -> inspect.Parameter:
    """Return the option of one setting; ``load_settings`` reads its environment variable."""
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
