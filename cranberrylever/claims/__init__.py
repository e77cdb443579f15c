"""Execution claims, which allow at most one dispatch of a non-idempotent request."""

from cranberrylever.claims._table import (
    MAX_CLAIM_TABLE_BYTES,
    MAX_CLAIMS,
    Claim,
    ClaimOutcome,
    ClaimTable,
    ClaimTableRecord,
)

__all__ = [
    "MAX_CLAIMS",
    "MAX_CLAIM_TABLE_BYTES",
    "Claim",
    "ClaimOutcome",
    "ClaimTable",
    "ClaimTableRecord",
]
