"""Change tickets: schema, validation and acceptance rules."""

from cranberrylever.tickets._schema import FailureDomainSpec, ServiceSpec, TargetSpec, Ticket

__all__ = ["FailureDomainSpec", "ServiceSpec", "TargetSpec", "Ticket"]
