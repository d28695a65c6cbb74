"""Tests that odd entries of another writer do not hide the sound ones."""

from __future__ import annotations

import asyncio
import base64
from dataclasses import replace

import pytest

from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.members import UpstreamStatus
from flamingohead.core.rows import Row
from flamingohead.core.upstreams import Announcement, UpstreamRegistry
from flamingohead.services.bootstrap import BootstrapService
from flamingohead.services.departures import DepartureService
from flamingohead.tests.test_platform_adapter import build_store


class TestOddAnnouncements:
    """Guard against one odd heartbeat that keeps a sound upstream out of use."""

    BEAT = Announcement("i-1", "s", "a:1", 4, UpstreamStatus.READY, 1000, 7)

    def build_registry(self):
        registry = UpstreamRegistry()
        registry.announce(self.BEAT, 0.0)
        return registry

    def is_applied(self, registry, now, **changes):
        announcement = replace(self.BEAT, **changes)
        result = registry.announce(announcement, now)
        if isinstance(result, Refusal):
            assert result.kind is ErrorKind.MALFORMED_REQUEST
            return False
        return registry._records["i-1"].announcement == announcement

    def test_sequence_far_ahead_does_not_hide_the_next_ones(self):
        registry = self.build_registry()
        assert not self.is_applied(registry, 0.1, sequence=2**50)
        assert self.is_applied(registry, 0.2, sequence=8)
        assert not self.is_applied(registry, 0.3, sequence=2**50)
        assert self.is_applied(registry, 0.4, sequence=9)

    def test_sequence_far_ahead_is_applied_once_it_is_confirmed(self):
        registry = self.build_registry()
        assert not self.is_applied(registry, 0.1, sequence=2**50)
        assert self.is_applied(registry, 0.2, sequence=2**50 + 1)

    @pytest.mark.parametrize("change", [{}, {"service": "t"}, {"address": "a:2"}])
    def test_heartbeat_replaces_what_a_probe_has_found(self, change):
        registry = UpstreamRegistry()
        registry.announce(replace(self.BEAT, sequence=0), 0.0)
        assert self.is_applied(registry, 0.1, sequence=500_000, **change)

    @pytest.mark.parametrize("change", [{"service": "t"}, {"address": "a:2"}])
    def test_incarnation_keeps_its_service_and_address(self, change):
        registry = self.build_registry()
        assert not self.is_applied(registry, 0.1, sequence=8, **change)
        assert self.is_applied(registry, 0.2, sequence=9)

    def test_next_incarnation_may_serve_another_service(self):
        registry = self.build_registry()
        assert self.is_applied(registry, 0.1, incarnation=2000, service="t")


class TestOddRows:
    """Guard against odd rows in the store that stop the reader of the sound ones."""

    DEEP = b"[" * 100_000
    SOUND = b'{"peer_address": "10.0.0.2:1", "written_at": 5.0}'

    def decode_hosts(self, *rows):
        kernel = build_store()
        service = BootstrapService(kernel, None)
        return service._decode_rows([Row(key, value, "") for key, value in rows], "d")

    @pytest.mark.parametrize(
        ("key", "value"),
        [
            ("hosts/d/a", DEEP),
            ("hosts/d/a", b'{"peer_address": "10.0.0.2:99999"}'),
            ("hosts/d/a", b'{"peer_address": "10.0.0.2:-1"}'),
            ("hosts/d/a", b'{"peer_address": "10.0.0.2:1", "written_at": 1e300}'),
            ("hosts/d/a", b'{"peer_address": "10.0.0.2:1", "written_at": -1}'),
            ("hosts/d", SOUND),
            ("hosts/", SOUND),
            ("hosts/d/a/b", SOUND),
            ("hosts/d/a", b""),
        ],
    )
    def test_odd_host_row_is_ignored(self, key, value):
        rows = self.decode_hosts((key, value), ("hosts/d/b", self.SOUND))
        assert [(row.host_id, row.written_at) for row in rows] == [("b", 5.0)]

    @pytest.mark.parametrize(
        "value",
        [
            DEEP,
            b"",
            b"7",
            b'{"name": "i"}',
            b'{"name": "i", "incarnation": 1e400}',
            b'{"name": "i", "incarnation": 36893488147419103232}',
            b'{"name": "i", "incarnation": 7, "recorded_at": -1}',
            b'{"name": "", "incarnation": 7}',
        ],
    )
    def test_daemon_starts_beside_an_odd_departure(self, value):
        row = {"key": "departures/h", "value": base64.b64encode(value).decode()}
        page = {"rows": [{**row, "ver": 1}], "ver": 9}
        kernel = build_store((200, page))
        service = DepartureService(kernel, "h")
        kernel.get("gossip").has_joined = True
        asyncio.run(service._load())
        assert service.knows_earlier
