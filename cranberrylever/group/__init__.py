"""What all control members need: streams, the log's state machine, duties of the leader and calls to it."""

from cranberrylever.group._consensus_metrics import set_consensus_gauges
from cranberrylever.group._forwarding import FORWARDED_HEADER, LeaderForwarder
from cranberrylever.group._leader import LeaderBase
from cranberrylever.group._machine import AppliedCallback, StateMachineAdapter
from cranberrylever.group._peers import PeerLink, PeerTransport

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
