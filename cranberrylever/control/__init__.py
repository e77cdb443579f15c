"""The control program: durable state, operator API and grants."""

from cranberrylever.control._announcements import parse_announcement
from cranberrylever.control._forwarding import LeaderForwarder
from cranberrylever.control._operator import OperatorService, create_operator_app

__all__ = ["LeaderForwarder", "OperatorService", "create_operator_app", "parse_announcement"]
