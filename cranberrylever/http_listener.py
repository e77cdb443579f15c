"""Class of the connections of one listener, with its limits."""

import attrs

from cranberrylever.answer_memory import AnswerMemory
from cranberrylever.http_connections import limit_to_descriptors
from cranberrylever.http_given_up import GivenUpConnections
from cranberrylever.http_limits import ListenerLimits
from cranberrylever.http_protocol import StrictHttpProtocol
from cranberrylever.http_requests_ahead import ReadBudget


def create_protocol_class(
    limits: ListenerLimits, memory: AnswerMemory, given_up: GivenUpConnections | None = None
) -> type[StrictHttpProtocol]:
    """Return the class of the connections of one listener.

    Args:
        limits: Limits on what callers send.
        memory: Limit on the memory of answers.
        given_up: Counts the connections that are given up, ``None`` for no counts.
    """
    limits = attrs.evolve(limits, max_connections=limit_to_descriptors(limits.max_connections))
    budget = ReadBudget(limits.read_memory)
    members = {"limits": limits, "memory": memory, "budget": budget, "given_up": given_up}
    return type("LimitedProtocol", (StrictHttpProtocol,), members)
