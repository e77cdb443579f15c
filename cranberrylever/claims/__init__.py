"""Execution claims: at most one dispatch of a non-idempotent request."""

from cranberrylever.claims._table import (
    MAX_CLAIM_BYTES,
    MAX_CLAIMS,
    Claim,
    ClaimOutcome,
    ClaimTable,
    ClaimTableRecord,
)

__all__ = [
    "MAX_CLAIMS",
    "MAX_CLAIM_BYTES",
    "Claim",
    "ClaimOutcome",
    "ClaimTable",
    "ClaimTableRecord",
]
