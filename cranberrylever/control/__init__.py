"""The ``control`` program: durable state, operator API and grants."""

from cranberrylever.control._announcements import parse_announcement
from cranberrylever.control._operator import OperatorService, create_operator_app
from cranberrylever.control._program import ControlProgram, create_control

__all__ = [
    "ControlProgram",
    "OperatorService",
    "create_control",
    "create_operator_app",
    "parse_announcement",
]
