"""Customers: who sends a request, whether its key is still in force, and how many requests it may send."""

from cranberrylever.customers._authenticator import read_key_digest, unknown_key_error
from cranberrylever.customers._counters import CustomerCounters
from cranberrylever.customers._directory import CustomerDirectory
from cranberrylever.customers._quota import CustomerQuota, QuotaExceededError, UnlimitedQuota
from cranberrylever.customers._revocation import RevocationGuard, SendVerdict

__all__ = [
    "CustomerCounters",
    "CustomerDirectory",
    "CustomerQuota",
    "QuotaExceededError",
    "RevocationGuard",
    "SendVerdict",
    "UnlimitedQuota",
    "read_key_digest",
    "unknown_key_error",
]
