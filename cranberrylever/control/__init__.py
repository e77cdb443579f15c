"""The control program: durable state, operator API and grants."""

from cranberrylever.control._announcements import parse_announcement
from cranberrylever.control._forwarding import FORWARDED_HEADER, LeaderForwarder
from cranberrylever.control._machine import ClusterMachine
from cranberrylever.control._operator import OperatorService, create_operator_app
from cranberrylever.control._peers import PeerTransport
from cranberrylever.control._program import ControlProgram, create_control

__all__ = [
    "FORWARDED_HEADER",
    "ClusterMachine",
    "ControlProgram",
    "LeaderForwarder",
    "OperatorService",
    "PeerTransport",
    "create_control",
    "create_operator_app",
    "parse_announcement",
]
