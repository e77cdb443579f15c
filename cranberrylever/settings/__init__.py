"""Settings of each program: flags, environment variables, defaults and validation."""

from cranberrylever.settings._fields import SettingField, load_settings, setting_fields
from cranberrylever.settings._programs import (
    ControlSettings,
    DevSettings,
    EntrySettings,
    LogSettings,
    OperatorSettings,
    PeerAddress,
    TargetSettings,
)
from cranberrylever.settings._routes import (
    DEFAULT_ANSWER_MEMORY,
    DEFAULT_BODY_MEMORY,
    MAX_TOLERATED_LOSSES,
    MIN_ANSWER_MEMORY,
    MIN_BODY_MEMORY,
    LimitSettings,
    ListenerSettings,
    RouteControlSettings,
    RouteEntrySettings,
)
from cranberrylever.settings._values import (
    ValueProblemError,
    listen_address,
    remote_address,
    split_address,
)

__all__ = [
    "DEFAULT_ANSWER_MEMORY",
    "DEFAULT_BODY_MEMORY",
    "MAX_TOLERATED_LOSSES",
    "MIN_ANSWER_MEMORY",
    "MIN_BODY_MEMORY",
    "ControlSettings",
    "DevSettings",
    "EntrySettings",
    "RouteEntrySettings",
    "LimitSettings",
    "ListenerSettings",
    "LogSettings",
    "OperatorSettings",
    "PeerAddress",
    "SettingField",
    "RouteControlSettings",
    "TargetSettings",
    "ValueProblemError",
    "listen_address",
    "load_settings",
    "remote_address",
    "setting_fields",
    "split_address",
]
