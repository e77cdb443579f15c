"""What all control members need: streams, the log's state machine, duties of the leader and calls to it."""

from cranberrylever.group._duties import LeaderDuties
from cranberrylever.group._forwarding import FORWARDED_HEADER, LeaderForwarder
from cranberrylever.group._machine import AppliedCallback, ClusterMachine
from cranberrylever.group._peers import PeerLink, PeerTransport
from cranberrylever.group._standing import show_standing

__all__ = [
    "FORWARDED_HEADER",
    "AppliedCallback",
    "ClusterMachine",
    "LeaderDuties",
    "LeaderForwarder",
    "PeerLink",
    "PeerTransport",
    "show_standing",
]
