"""Lookup of the customer that an API key belongs to."""

from cranberrylever.route_plan import Customer


class CustomerDirectory:
    """Customers of one plan by the digests of their keys; the lookup takes the same time for any number.

    Args:
        customers: Customers of the plan.
    """

    def __init__(self, customers: tuple[Customer, ...] = ()) -> None:
        self.by_digest = {digest: customer for customer in customers for digest in customer.key_digests}
        self.customers = customers

    @property
    def is_empty(self) -> bool:
        """Whether the plan has no customers, so that no request needs a key."""
        return not self.customers

    def find(self, digest: str) -> Customer | None:
        """Return the customer whose key has a digest, ``None`` for an unknown key."""
        return self.by_digest.get(digest)
