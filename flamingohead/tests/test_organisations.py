"""Tests of organisations in the configuration, and of the identity of requests."""

from __future__ import annotations

import json
from types import SimpleNamespace

import pytest

from flamingohead.core.changes import apply_change, compare_resources
from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.organisations.identity import identify_organisation
from flamingohead.core.resources import Organisation, digest_key
from flamingohead.core.routing import RouteTable
from flamingohead.core.validation import validate_snapshot
from flamingohead.platform.dialect import PLATFORM_DIALECT
from flamingohead.platform.documents import decode_document
from flamingohead.platform.probe import decode_health
from flamingohead.protocol import codec
from flamingohead.services.call_requests import Identity, build_call
from flamingohead.services.http_messages import IncomingRequest
from flamingohead.services.relay import build_relay_request
from flamingohead.testing.hosts import HOST, build_document

SHRINE = {"name": "shrine", "api-keys": ["key-1", "key-2"], "priority": 0}
SCHOOL = {"name": "school", "api-keys": ["key-3"], "rate-per-s": 20, "burst": 5}


def build_table(*tenants, edit=None):
    """Return a table; without organisations, the document has no field for them."""
    changes = {"tenants": list(tenants)} if tenants else {}
    document = json.loads(build_document(7, {"/a/": "ledger"}, **changes))
    if edit is not None:
        edit(document["listeners"][0]["route-rules"][0])
    snapshot = decode_document(json.dumps(document).encode())
    assert not isinstance(snapshot, Refusal), snapshot
    assert validate_snapshot(snapshot) == []
    return RouteTable(snapshot)


def identify(table, *keys, **options):
    resolved = table.match("GET", "/a/x", HOST)
    return identify_organisation(table, resolved.route, keys, **options)


class TestConfiguration:
    def test_organisations_are_decoded_with_digests_of_their_keys(self):
        table = build_table(SHRINE, SCHOOL)
        assert table.get_organisation("shrine") == Organisation(
            "shrine", (digest_key(b"key-1"), digest_key(b"key-2")), order=0
        )
        school = table.find_organisation(b"key-3")
        assert (school.name, school.rate_per_second, school.burst) == ("school", 20, 5)

    def test_snapshot_contains_no_key(self):
        # A key in the snapshot would be sent to all daemons and shown in differences.
        snapshot = build_table(SHRINE).snapshot
        assert b"key-1" not in codec.encode_snapshot(snapshot).SerializeToString()
        assert "key-1" not in repr(snapshot)

    def test_organisations_survive_messages_between_daemons(self):
        snapshot = build_table(SHRINE, SCHOOL).snapshot
        decoded = codec.decode_snapshot(codec.encode_snapshot(snapshot))
        assert decoded.resources == snapshot.resources
        assert decoded.digest == snapshot.digest

    def test_key_of_two_organisations_is_invalid(self):
        other = {"name": "other", "api-keys": ["key-2"]}
        document = build_document(7, {"/a/": "ledger"}, tenants=[SHRINE, other])
        problems = validate_snapshot(decode_document(document))
        assert [problem.field for problem in problems] == ["key_digests"]

    def test_organisation_with_a_repeated_name_is_rejected(self):
        document = build_document(7, {"/a/": "ledger"}, tenants=[SHRINE, SHRINE])
        refusal = decode_document(document)
        assert refusal.kind is ErrorKind.INVALID_CONFIGURATION
        assert "'shrine'" in refusal.detail

    @pytest.mark.parametrize(
        "change", [{"rate-per-s": -1}, {"burst": "x"}, {"name": "a\r\nb"}]
    )
    def test_invalid_field_of_an_organisation_is_rejected(self, change):
        document = build_document(7, {"/a/": "ledger"}, tenants=[{**SHRINE, **change}])
        refusal = decode_document(document)
        assert isinstance(refusal, Refusal)
        assert next(iter(change)) in refusal.detail

    @pytest.mark.parametrize(
        "tenants",
        [
            [{"name": "a", "api-keys": "secret"}],
            [{"name": "a", "api-keys": ["secret", 1]}],
            [{"name": "a", "api-keys": [["secret"]]}],
            [{"name": "a", "apikeys": ["secret"]}],
            [{"api-keys": ["secret"]}],
            {"secret": ["secret"]},
            ["secret"],
            "secret",
        ],
    )
    def test_refusal_of_a_document_shows_no_key(self, tenants):
        # The refusal is logged with the value that can't be decoded.
        document = build_document(7, {"/a/": "ledger"}, tenants=tenants)
        refusal = decode_document(document)
        assert isinstance(refusal, Refusal)
        assert "secret" not in refusal.detail

    def test_refusal_of_a_document_without_a_version_shows_no_key(self):
        document = json.loads(build_document(7, {"/a/": "ledger"}, tenants=[SHRINE]))
        for part in ([document], {"tenants": [SHRINE]}, {"organisations": [SHRINE]}):
            refusal = decode_document(json.dumps(part).encode())
            assert isinstance(refusal, Refusal)
            assert "key-1" not in refusal.detail

    def test_removed_organisation_is_not_found_in_the_next_table(self):
        table = build_table(SHRINE, SCHOOL)
        table = table.build_next(build_table(SCHOOL).snapshot)
        assert table.find_organisation(b"key-1") is None
        assert table.find_organisation(b"key-3").name == "school"

    def test_upload_route_is_not_idempotent(self):
        table = build_table(edit=lambda rule: rule.update(kind="upload"))
        route = table.match("POST", "/a/x", HOST).route
        assert route.large_body
        assert not route.idempotent


class TestRank:
    def test_order_of_the_organisation_replaces_that_of_the_route(self):
        table = build_table(SHRINE, SCHOOL)
        resolved = table.match("GET", "/a/x", HOST)
        rank = table.choose_rank(resolved, table.get_organisation("shrine"))
        assert (rank.order, rank.target_ms) == (0, resolved.rank.target_ms)
        assert table.choose_rank(resolved, table.get_organisation("school")).order == 1


WITHOUT_KEYS = {**SCHOOL, "api-keys": []}
# Values of the field with the organisations, and whether requests need a key.
FIELDS = {
    "left_out": ({}, False),
    "empty": ({"tenants": []}, True),
    "without_keys": ({"tenants": [WITHOUT_KEYS]}, True),
    "with_keys": ({"tenants": [SHRINE, SCHOOL]}, True),
}


def decode_field(name, version=7):
    changes, _ = FIELDS[name]
    document = build_document(version, {"/a/": "ledger"}, public=(), **changes)
    snapshot = decode_document(document)
    assert validate_snapshot(snapshot) == []
    return snapshot


class TestKeysRequired:
    """Guard against requests that run without a valid key once no key is left."""

    @pytest.mark.parametrize("field", FIELDS)
    def test_keys_are_required_if_the_document_has_organisations(self, field):
        table = RouteTable(decode_field(field))
        assert table.requires_keys is FIELDS[field][1]
        if table.requires_keys:
            for keys in [(), (b"key-9",)]:
                assert identify(table, *keys).kind is ErrorKind.API_KEY_UNKNOWN

    @pytest.mark.parametrize("before", FIELDS)
    @pytest.mark.parametrize("after", FIELDS)
    def test_next_version_requires_what_its_document_says(self, before, after):
        replaced = RouteTable(decode_field(before))
        snapshot = decode_field(after, version=8)
        assert replaced.build_next(snapshot).requires_keys is FIELDS[after][1]
        change = compare_resources(replaced.snapshot, snapshot.resources)
        change = codec.decode_change(codec.encode_change(change))
        applied = apply_change(replaced.snapshot, change, version=8)
        assert replaced.build_next(applied).requires_keys is FIELDS[after][1]
        assert applied.digest == snapshot.digest

    @pytest.mark.parametrize("field", FIELDS)
    def test_snapshot_of_another_daemon_requires_the_same(self, field):
        snapshot = decode_field(field)
        decoded = codec.decode_snapshot(codec.encode_snapshot(snapshot))
        assert decoded.digest == snapshot.digest
        assert RouteTable(decoded).requires_keys is FIELDS[field][1]

    def test_public_route_is_open_without_any_key(self):
        table = build_table(WITHOUT_KEYS, edit=lambda rule: rule.update(public=True))
        assert identify(table) is None


class TestIdentity:
    def test_without_organisations_no_key_is_needed(self):
        assert identify(build_table(), b"key-1") is None

    def test_key_leads_to_its_organisation(self):
        assert identify(build_table(SHRINE, SCHOOL), b"key-2").name == "shrine"

    @pytest.mark.parametrize(
        "keys", [(), (b"unknown",), (b"",), (b"key-1", b"key-3"), (b"key-1, key-3",)]
    )
    def test_unknown_or_missing_key_is_refused(self, keys):
        refusal = identify(build_table(SHRINE, SCHOOL), *keys)
        assert refusal.kind is ErrorKind.API_KEY_UNKNOWN

    def test_public_route_needs_no_key(self):
        table = build_table(SHRINE, edit=lambda rule: rule.update(public=True))
        assert identify(table) is None
        assert identify(table, b"unknown") is None
        assert identify(table, b"key-1").name == "shrine"

    def test_nested_call_belongs_to_the_organisation_of_its_parent(self):
        table = build_table(SHRINE)
        found = identify(table, is_nested=True, parent_organisation="shrine")
        assert found.name == "shrine"

    def test_nested_call_belongs_to_an_organisation_that_was_removed_meanwhile(self):
        # The upstream of the nested call would else get no name of an organisation.
        found = identify(
            build_table(SCHOOL), is_nested=True, parent_organisation="shrine"
        )
        assert found.name == "shrine"

    def test_nested_call_of_a_parent_without_an_organisation_has_none(self):
        found = identify(build_table(SHRINE), is_nested=True, parent_organisation="")
        assert found is None

    def test_nested_call_of_an_unknown_parent_is_not_denied(self):
        # A restarted daemon doesn't know the requests that its upstream still runs.
        refusal = identify(build_table(SHRINE), is_nested=True)
        assert refusal.kind is ErrorKind.CALLER_UNKNOWN
        assert refusal.caller_status == 503

    def test_nested_call_does_not_escape_the_check_of_its_key(self):
        refusal = identify(
            build_table(SHRINE), b"no", is_nested=True, parent_organisation="shrine"
        )
        assert refusal.kind is ErrorKind.API_KEY_UNKNOWN


class TestHeaders:
    @pytest.fixture
    def request_headers(self):
        return [
            (b"host", HOST.encode()),
            (b"x-api-key", b"key-1"),
            (b"tenant", b"forged"),
            (b"tenant", b"forged again"),
        ]

    def build(self, headers, identity):
        request = IncomingRequest("GET", b"/a/x", headers)
        resolved = build_table(SHRINE).match("GET", "/a/x", HOST)
        call = build_call(
            request, resolved, 0.0, dialect=PLATFORM_DIALECT, identity=identity
        )
        return [h for h in call.headers if h[0] in (b"x-api-key", b"tenant")]

    def test_key_is_replaced_by_the_name_of_the_organisation(self, request_headers):
        identity = Identity("shrine", is_required=True)
        assert self.build(request_headers, identity) == [(b"tenant", b"shrine")]

    def test_relayed_request_contains_no_key(self, request_headers):
        # Another daemon, and its log, have no use for the key.
        request = IncomingRequest("GET", b"/a/x", request_headers)
        resolved = build_table(SHRINE).match("GET", "/a/x", HOST)
        identity = Identity("shrine", is_required=True)
        call = build_call(
            request, resolved, 0.0, dialect=PLATFORM_DIALECT, identity=identity
        )
        candidate = SimpleNamespace(upstream="i-1")
        relayed = build_relay_request(candidate, call, 0.0)
        assert (b"flamingohead-organisation", b"shrine") in relayed.headers
        assert "key-1" not in repr(relayed.headers)

    def test_public_request_names_no_organisation(self, request_headers):
        assert self.build(request_headers, Identity(is_required=True)) == []

    def test_headers_pass_unchanged_without_organisations(self, request_headers):
        assert self.build(request_headers, Identity()) == request_headers[1:]


class TestHealthPage:
    @pytest.mark.parametrize("load", [b"3,0,6", b"3, 0, 6, 250"])
    def test_slots_are_read_with_and_without_the_pace(self, load):
        # With four figures, a restarted daemon did not find the slots of its upstream.
        headers = [(b"instance-id", b"i-1"), (b"instance-load", load)]
        settings = SimpleNamespace(service="ledger", upstream_address="127.0.0.1:1")
        assert decode_health(headers, settings).slots == 6
