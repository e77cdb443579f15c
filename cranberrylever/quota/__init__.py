"""Quotas of customers over all entries."""

from cranberrylever.quota._account import QuotaAccount
from cranberrylever.quota._client import QuotaClient
from cranberrylever.quota._ledger import QuotaLedger
from cranberrylever.quota._stock import TokenStock

__all__ = ["QuotaAccount", "QuotaClient", "QuotaLedger", "TokenStock"]
