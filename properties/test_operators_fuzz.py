"""The operators' endpoint changes nothing without a valid token and a valid body.

The requests go to the endpoint's resource in process; the services behind it are fakes.
"""

from __future__ import annotations

import asyncio
import json

from hypothesis import given, strategies as st
from treq.testing import StubTreq

from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.kernel import Kernel
from flamingohead.services.metrics import MetricsService
from flamingohead.services.operators import OperatorService
from flamingohead.services.reactor import install_reactor

TOKEN = "the-right-token"
PATHS = (
    "/v1/status",
    "/v1/convergence",
    "/v1/metrics",
    "/v1/versions",
    "/v1/versions/1",
    "/v1/differences",
    "/v1/changes",
    "/v1/reverts",
    "/v1/drains",
    "/v1/legacy/booking",
)
METHODS = ("GET", "POST", "PUT", "DELETE", "PATCH")


class FakeBackend:
    """Replace every service behind the endpoint, and record the requested changes."""

    def __init__(self):
        self.changes = []

    async def accept(self, resources, **details):
        self.changes.append((tuple(resources), details))
        return Refusal(ErrorKind.VERSION_CONFLICT, "fake")

    async def catch_up(self):
        return Refusal(ErrorKind.PLATFORM_UNAVAILABLE, "fake")

    async def set_drain(self, upstream, draining):
        self.changes.append((upstream, draining))
        return {"upstream": upstream}

    async def list_versions(self, limit):
        return []

    async def read_snapshot(self, version):
        return Refusal(ErrorKind.NOT_FOUND, "fake")

    async def compare(self, before, after):
        return []

    async def describe_convergence(self):
        return {"domains": [], "complete": True}

    def describe_daemon(self):
        return {"version": 0}

    def describe_metrics(self):
        return {"counters": {}}


class Endpoint:
    """Send requests to the resource of an operators' endpoint."""

    def __init__(self):
        self.backend = FakeBackend()
        kernel = Kernel()
        kernel.add("metrics", MetricsService())
        for name in ("configuration", "history", "status"):
            kernel.add(name, self.backend)
        self.service = OperatorService(kernel, "127.0.0.1:1", TOKEN)
        self.treq = StubTreq(self.service.app.resource())

    def send(self, method, path, *, token=None, body=b""):
        """Return the status and the decoded body of the answer."""
        headers = {} if token is None else {"Authorization": f"Bearer {token}"}
        return install_reactor().run_until_complete(
            self._exchange(method, path, headers, body)
        )

    async def _exchange(self, method, path, headers, body):
        response = await self._await_deferred(
            self.treq.request(
                method, f"http://endpoint{path}", headers=headers, data=body
            )
        )
        content = await self._await_deferred(self.treq.content(response))
        return response.code, json.loads(content)

    async def _await_deferred(self, deferred):
        future = deferred.asFuture(asyncio.get_running_loop())
        while not future.done():
            await asyncio.sleep(0)
            self.treq.flush()
        return future.result()


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.text(max_size=12), inner, max_size=4),
    max_leaves=8,
)
FIELDS = st.fixed_dictionaries(
    {},
    optional={
        "change_id": st.text(max_size=140) | JSON_VALUES,
        "author": st.text(max_size=20) | JSON_VALUES,
        "base_version": st.integers() | JSON_VALUES,
        "version": st.integers() | JSON_VALUES,
        "sheet": st.text(max_size=60) | JSON_VALUES,
        "dry_run": JSON_VALUES,
        "upstream": st.text(max_size=70) | JSON_VALUES,
        "draining": JSON_VALUES,
    },
)
BODIES = (
    st.binary(max_size=200)
    | JSON_VALUES.map(lambda value: json.dumps(value).encode())
    | FIELDS.map(lambda value: json.dumps(value).encode())
)


class TestAuthorization:
    @given(
        st.sampled_from(METHODS),
        st.sampled_from(PATHS),
        st.none() | st.text(st.characters(codec="latin-1", exclude_categories=["Cc"])),
        BODIES,
    )
    def test_wrong_token_changes_nothing(self, method, path, token, body):
        endpoint = Endpoint()
        encoded = None if token is None or token.strip() == TOKEN else token
        status, content = endpoint.send(method, path, token=encoded, body=body)
        assert status in (400, 401)
        assert content["ran"] == "no"
        assert endpoint.backend.changes == []


class TestMalformedInput:
    @given(st.sampled_from(("/v1/changes", "/v1/reverts", "/v1/drains")), BODIES)
    def test_malformed_body_is_refused_and_changes_nothing(self, path, body):
        endpoint = Endpoint()
        status, content = endpoint.send("POST", path, token=TOKEN, body=body)
        if endpoint.backend.changes:
            assert is_well_formed(path, json.loads(body))
        elif path == "/v1/reverts":
            assert status in (400, 404), content
        else:
            assert status in (400, 422, 503), content

    @given(
        st.sampled_from(("limit", "before", "after")),
        st.text(st.characters(codec="ascii", categories=["L", "N", "P"]), max_size=30),
    )
    def test_malformed_numbers_are_refused(self, name, value):
        endpoint = Endpoint()
        path = "/v1/versions" if name == "limit" else "/v1/differences"
        safe = "".join(c for c in value if c.isalnum() or c in "-._~")
        status, content = endpoint.send("GET", f"{path}?{name}={safe}", token=TOKEN)
        assert status in (200, 400)
        if status == 200:
            assert safe.isdigit()

    @given(st.text(st.characters(codec="ascii", categories=["L", "N"]), max_size=20))
    def test_unknown_path_is_refused(self, name):
        status, content = Endpoint().send("GET", f"/v2/{name}", token=TOKEN)
        assert status == 404
        assert content["error"] == "not_found"


def is_well_formed(path, body):
    """Return whether a body has the fields and types that its request requires."""
    if path == "/v1/drains":
        return isinstance(body["upstream"], str) and isinstance(body["draining"], bool)
    return isinstance(body["change_id"], str) and 8 <= len(body["change_id"]) <= 128
