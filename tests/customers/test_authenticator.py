"""Tests of the API keys that requests state."""

import testtools

from cranberrylever.customers import read_key_digest
from cranberrylever.errors import UnauthorizedError
from cranberrylever.route_plan import key_digest


class KeyTest(testtools.TestCase):
    def test_scheme_in_any_case_and_spaces_are_accepted(self):
        """Guards against the refusal of a customer whose program writes the header in another way."""
        for value in (b"Bearer k1", b"bearer k1", b"BEARER   k1", b"  bEaReR \t k1 \t"):
            assert read_key_digest([value]) == key_digest(b"k1"), value

    def test_request_without_one_usable_key_is_refused_without_naming_it(self):
        """Guards against a request that runs for nobody, and against a key in an answer or log line."""
        for values in (
            [],
            [b""],
            [b"Bearer"],
            [b"Bearer "],
            [b"secret"],
            [b"Basic secret"],
            [b"Bearer secret x"],
            [b"Bearersecret"],
            [b"Bearer secret", b"Bearer secret"],
            [b"Bearer " + "secretä".encode()],
            [b"Bearer " + b"secret" * 1_366],
        ):
            error = self.assertRaises(UnauthorizedError, read_key_digest, values)
            assert "secret" not in str(error), values
