"""Handover tokens with which targets released keys, for the next owner of these keys."""

import attrs

TOKEN_LIFETIME_S = 4.0
"""Seconds for which a handover token is kept for the next assignment of its keys."""


@attrs.frozen
class _HandoverToken:
    """Token with which a target released keys, at loop time ``released_at``."""

    first: int
    last: int
    text: str
    released_at: float


class HandoverTokens:
    """Recent handover tokens; times are loop times in seconds."""

    def __init__(self) -> None:
        self.tokens: list[_HandoverToken] = []

    def add(self, first: int, last: int, text: str, now: float) -> None:
        """Keep the token for the keys ``first`` to ``last``; an empty one is ignored."""
        if text:
            self.tokens.append(_HandoverToken(first, last, text, now))

    def find(self, first: int, last: int) -> str:
        """Return the latest token that covers the keys ``first`` to ``last``, empty when there is none."""
        for token in reversed(self.tokens):
            if token.first <= first and last <= token.last:
                return token.text
        return ""

    def expire(self, now: float) -> None:
        """Drop the tokens whose lifetime is over."""
        self.tokens = [token for token in self.tokens if now < token.released_at + TOKEN_LIFETIME_S]
