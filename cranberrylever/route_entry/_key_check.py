"""Checks the API key of a request at the moment of each send."""

from cranberrylever.customers import RevocationGuard, SendVerdict, unknown_key_error
from cranberrylever.route_entry._request import KeyRevokedError, RoutedRequest, raise_failure
from cranberrylever.route_entry._view import EntryView

VIEW_UNCONFIRMED_REASON = "this entry cannot confirm which API keys are in force"
VIEW_UNCONFIRMED_RETRY_AFTER_S = 0.5
"""Delay after which a caller may retry; it may reach an entry that knows the keys."""


class KeyCheck:
    """Checks that a request's key still belongs to its customer by the newest view.

    Time passes between the reading of a request and a send: it waits for permits or owners, is sent again or
    passed on.

    Args:
        view: The view in force.
        revocation: Bound on the age of the view.
    """

    def __init__(self, view: EntryView, revocation: RevocationGuard) -> None:
        self.view = view
        self.revocation = revocation

    def require(self, request: RoutedRequest, now: float) -> None:
        """Return if the request may be sent at the loop time ``now``.

        Raises:
            KeyRevokedError: Its key is no longer in force, and no attempt has run.
            RefusedError: The view is too old, or another customer has the key, and no attempt has run.
            OutcomeUnknownError: It may not be sent, and an earlier attempt may have run.
        """
        verdict = self.revocation.decide(
            self.view.customers,
            request.key_digest,
            request.customer,
            request.route.public,
            self.view.confirmed_at,
            now,
        )
        if verdict is SendVerdict.VIEW_UNCONFIRMED:
            raise_failure(request, VIEW_UNCONFIRMED_REASON, VIEW_UNCONFIRMED_RETRY_AFTER_S)
        if verdict is SendVerdict.CUSTOMER_CHANGED:
            raise_failure(request, "the customer of the request has changed", 0.0)
        if verdict is SendVerdict.KEY_REVOKED:
            reason = str(unknown_key_error())
            if not request.may_have_run:
                raise KeyRevokedError(reason, 0.0)
            raise_failure(request, reason, 0.0)
