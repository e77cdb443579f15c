"""Fuzz of the bodies and headers that other programs send: each is decoded or refused with an error."""

import importlib
import json

import testtools
from hypothesis import given, settings
from hypothesis import strategies as st

from cranberrylever.errors import CranberryleverError
from tests.platform.fakes import configuration
from tests.platform.test_decoding import FAILURE_DOMAINS, HEARTBEAT

config_document = importlib.import_module("config_document")
call_headers = importlib.import_module("call_headers")

EXAMPLES = 200
CORPUS = (
    b"",
    b"{",
    b"\x00",
    b"\xff\xfe",
    b"[" * 5_000,
    b'{"seq": 1e999}',
    b'{"seq": NaN}',
    b'{"holds": [[0, 1, 99999999999999999999999]]}',
    b'{"\\ud800": 1}',
    b"null",
    b"7",
)

values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=4), inner, max_size=3),
    max_leaves=8,
)


def mutate(document, field, value, is_removed):
    """Return a document with one field replaced or removed, as JSON bytes that may be cut."""
    changed = dict(document)
    if is_removed:
        changed.pop(field, None)
    else:
        changed[field] = value
    return json.dumps(changed).encode()


class FuzzTest(testtools.TestCase):
    def decode_all(self, body):
        for decode in (
            lambda: config_document.read_heartbeat("i-1", body, FAILURE_DOMAINS),
            lambda: config_document.read_plan(body),
            lambda: config_document.read_start(body),
        ):
            try:
                decode()
            except CranberryleverError as error:
                assert error.message
                assert error.remedy

    @settings(max_examples=EXAMPLES, deadline=None, derandomize=True)
    @given(st.sampled_from([*HEARTBEAT, "holds", "freed"]), values, st.booleans(), st.integers(0, 400))
    def test_heartbeats(self, field, value, is_removed, cut):
        """Guards against a heartbeat of another writer that ends a request, or more, with a traceback."""
        body = mutate({**HEARTBEAT, "holds": [[0, 9, 1]], "freed": []}, field, value, is_removed)
        self.decode_all(body)
        self.decode_all(body[:cut])

    @settings(max_examples=EXAMPLES, deadline=None, derandomize=True)
    @given(st.sampled_from(["version", "routes", "services", "limits"]), values, st.booleans())
    def test_configurations(self, field, value, is_removed):
        """Guards against a configuration that ends a request, or more, with a traceback."""
        self.decode_all(mutate(configuration(3, "ledger", "desk"), field, value, is_removed))

    @settings(max_examples=EXAMPLES, deadline=None, derandomize=True)
    @given(st.sampled_from(["routes", "services"]), values, st.integers(0, 12))
    def test_items_of_configurations(self, field, value, number):
        """Guards against the same with one field of a route or service that has another type."""
        document = configuration(3, "ledger", "desk")
        name = sorted(document[field][0])[number % len(document[field][0])]
        document[field][0][name] = value
        self.decode_all(json.dumps(document).encode())

    def test_corpus(self):
        """Guards against bytes that once were not refused."""
        for body in CORPUS:
            self.decode_all(body)

    @settings(max_examples=EXAMPLES, deadline=None, derandomize=True)
    @given(st.binary(max_size=30), st.integers(100, 599))
    def test_headers_of_answers_and_callers(self, value, status):
        """Guards against a header of a target or caller that ends the request with a traceback."""
        header_format = call_headers.PlatformFormat()
        names = (
            call_headers.LOAD_HEADER,
            call_headers.RATE_LIMIT_HEADER,
            call_headers.RETRY_AFTER_HEADER,
            call_headers.LEAVING_HEADER,
            header_format.deadline_header,
            header_format.key_header,
        )
        headers = [(name, value) for name in names]
        header_format.read_answer(status, headers)
        header_format.read_call(headers)
