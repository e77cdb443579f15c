"""Customers: who sends a request, and how many requests it may send."""

from cranberrylever.customers._quota import CustomerQuota, QuotaExceededError, UnlimitedQuota

__all__ = ["CustomerQuota", "QuotaExceededError", "UnlimitedQuota"]
