"""Parts of every control member: peer transport, state machine adapter, leader loop and forwarding."""

from cranberrylever.control_member._consensus_metrics import set_consensus_gauges
from cranberrylever.control_member._forwarding import FORWARDED_HEADER, LeaderForwarder
from cranberrylever.control_member._leader import LeaderBase
from cranberrylever.control_member._machine import AppliedCallback, StateMachineAdapter
from cranberrylever.control_member._peers import PeerLink, PeerTransport

__all__ = [
    "FORWARDED_HEADER",
    "AppliedCallback",
    "LeaderBase",
    "LeaderForwarder",
    "PeerLink",
    "PeerTransport",
    "StateMachineAdapter",
    "set_consensus_gauges",
]
