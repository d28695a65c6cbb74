"""Tests of the attempts of a call while time passes between two decisions."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest

from flamingohead.core.attempts import FULL_KINDS
from flamingohead.core.calls import Call
from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.kernel import Kernel
from flamingohead.services import group_attempts
from flamingohead.services.group_attempts import GroupAttemptService
from flamingohead.tests.test_large_bodies import (
    SERVICE,
    SERVICE_TIME,
    build_member,
    build_placement,
)

STEP_SECONDS = 0.0001
MAX_READINGS = 500


class SteppingClock:
    """Advance at each reading; fail if a loop reads it without end."""

    def __init__(self):
        self.readings = 0

    def monotonic(self):
        self.readings += 1
        assert self.readings < MAX_READINGS, "a loop sends nothing and does not end"
        return self.readings * STEP_SECONDS


class FullSlots:
    """Refuse each request at once, without suspending."""

    async def execute(self, upstream, call, buffered):
        return Refusal(ErrorKind.QUEUE_FULL, retry_at=1.0)

    def report_load(self, upstream, rank, held_ms):
        return None


def build_service(placement):
    kernel = Kernel()
    counts = SimpleNamespace(count=lambda name: None, count_retry=lambda refusal: None)
    kernel.add("metrics", counts)
    kernel.add("slots", FullSlots())
    routes = SimpleNamespace(list_services=lambda: {SERVICE})
    kernel.add("configuration", SimpleNamespace(routes=routes))
    local = SimpleNamespace(local_member=SimpleNamespace(host_id="own"))
    kernel.add("gossip", SimpleNamespace(membership=local))
    budget = SimpleNamespace(
        record_request=lambda service, now: None, spend=lambda service, now: False
    )
    return GroupAttemptService(kernel, placement, budget)


def build_upload(deadline):
    return Call(
        SERVICE,
        "urgent",
        "POST",
        b"/mat/1",
        ((b"request-id", b"r1"),),
        b"x" * 60_000,
        deadline,
        idempotent=False,
        large_body=True,
    )


class TestUploadsNearTheirDeadline:
    """Guard against a loop that never suspends once no upstream can serve in time."""

    # The time left falls below the expected service time between any two readings of
    # the clock. On the platform, the daemon then used a processor and answered nobody.
    @pytest.mark.parametrize("readings", range(1, 12))
    def test_upload_that_becomes_too_late_at_any_reading_ends(
        self, monkeypatch, readings
    ):
        monkeypatch.setattr(group_attempts, "time", SteppingClock())
        service = build_service(build_placement(build_member("own")))
        deadline = SERVICE_TIME.current + (readings + 0.5) * STEP_SECONDS
        response = SimpleNamespace(started=False)

        async def run():
            await service.start()
            return await service.serve(build_upload(deadline), response)

        refusal = asyncio.run(run())
        assert refusal.kind in FULL_KINDS
        assert refusal.retry_at is not None
