"""Number of voters that a group needs for the losses that it is to survive."""

import math

MAX_VOTERS = 9
"""Limit on the voters: each commit waits for the slowest of a majority."""


def voters_needed(instances: int, domains: int, domain_count: int) -> int:
    """Return the number of voters of which a majority survives the stated losses.

    The voters are spread evenly over the failure domains. If no number up to ``MAX_VOTERS`` survives the loss
    of the domains, as of one of two, the number is that for the loss of instances.

    Args:
        instances: Members that may be lost at the same time.
        domains: Failure domains that may be lost instead.
        domain_count: Failure domains with members.
    """
    fewest = 2 * instances + 1
    for voters in range(fewest, MAX_VOTERS + 1, 2):
        if domains * math.ceil(voters / max(domain_count, 1)) <= voters // 2:
            return voters
    return fewest
