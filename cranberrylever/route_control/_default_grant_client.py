"""Default calls to targets that hold keys."""

from collections.abc import Mapping

from cranberrylever.route_control._grant_client import KeyGrant
from cranberrylever.route_control._http_grant_client import HttpGrantClient
from cranberrylever.target_http import TargetAnswer


class DefaultGrantClient(HttpGrantClient):
    """Grants, releases and probes in the format that ``docs/routes.md`` describes."""

    grant_path = "/-/keys/grant"
    release_path = "/-/keys/release"
    refusal_status_codes = frozenset({409})
    target_header = "cranberrylever-target"

    def grant_body(self, grant: KeyGrant) -> Mapping[str, object]:
        """Return the body of a grant."""
        return {
            "first": grant.first,
            "last": grant.last,
            "fence": grant.fence,
            "lease": grant.lease,
            "handover": grant.handover,
        }

    def release_body(self, first: int, last: int, fence: int) -> Mapping[str, object]:
        """Return the body of a release."""
        return {"first": first, "last": last, "fence": fence}

    def handover_token(self, answer: TargetAnswer) -> str:
        """Return the body of the answer to a release."""
        return answer.body.decode("latin-1")

    def target_id(self, answer: TargetAnswer) -> str:
        """Return the body of the answer to a probe."""
        return answer.body.decode("latin-1")
