"""Counters of requests by customer and outcome."""

from cranberrylever.metrics import Metrics

MAX_COUNTED_CUSTOMERS = 100
"""Customers with counters of their own; a process counts all others together."""

OTHER_CUSTOMERS = "(other)"
"""Label of the others."""


class CustomerCounters:
    """Counts requests for the customers that a process has seen first.

    Args:
        metrics: Metrics of the process.
    """

    def __init__(self, metrics: Metrics) -> None:
        self.metrics = metrics
        self.counted: set[str] = set()

    def record(self, customer: str, outcome: str) -> None:
        """Count a request that has ended; one without a customer is not counted here."""
        if not customer:
            return
        if customer not in self.counted and len(self.counted) < MAX_COUNTED_CUSTOMERS:
            self.counted.add(customer)
        label = customer if customer in self.counted else OTHER_CUSTOMERS
        self.metrics.count_labelled("customer_requests", {"customer": label, "outcome": outcome})
