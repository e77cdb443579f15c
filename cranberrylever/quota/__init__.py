"""Quotas of customers over all entries, and fair shares of an entry's room."""

from cranberrylever.quota._account import QuotaAccount
from cranberrylever.quota._client import QuotaClient
from cranberrylever.quota._fairness import FairShares, fair_level
from cranberrylever.quota._ledger import QuotaLedger
from cranberrylever.quota._stock import TokenStock

__all__ = ["FairShares", "QuotaAccount", "QuotaClient", "QuotaLedger", "TokenStock", "fair_level"]
