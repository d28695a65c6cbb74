"""Tests of responses that are lost while their connection stays open."""

from __future__ import annotations

import asyncio
import time

import pytest

from flamingohead.core.errors import ErrorKind
from flamingohead.core.response_progress import ResponseProgress
from flamingohead.services.http_client import CollectedResponse, HttpClientService
from flamingohead.services.http_messages import OutgoingRequest

START_SECONDS = 0.2
STALL_SECONDS = 0.2
DEADLINE_SECONDS = 5.0


class TestProgress:
    def test_response_has_to_start_in_time(self):
        progress = ResponseProgress(26.0, start_deadline=2.0, max_stall_seconds=1.0)
        assert progress.expires_at == 2.0

    def test_response_that_makes_progress_may_last_until_its_deadline(self):
        progress = ResponseProgress(10.0, start_deadline=2.0, max_stall_seconds=1.0)
        for tenths in range(5, 100, 5):
            assert tenths / 10 < progress.expires_at
            progress.record_data(tenths / 10)
        assert progress.expires_at == 10.0

    def test_started_response_must_not_stall(self):
        progress = ResponseProgress(26.0, start_deadline=2.0, max_stall_seconds=1.0)
        progress.record_data(1.5)
        assert progress.expires_at == 2.5

    def test_response_without_limits_has_its_deadline_only(self):
        progress = ResponseProgress(26.0)
        progress.record_data(0.1)
        assert progress.expires_at == 26.0


class TestLostResponses:
    """Run exchanges with a server that stops sending and keeps the connection."""

    async def request(self, *parts):
        """Return the refusal and the seconds until it, for a response in parts."""
        handlers = []

        async def respond(reader, writer):
            handlers.append(asyncio.current_task())
            await reader.readuntil(b"\r\n\r\n")
            for part in parts:
                writer.write(part)
                await asyncio.sleep(STALL_SECONDS / 2)
            await reader.read()
            writer.close()

        server = await asyncio.start_server(respond, "127.0.0.1", 0)
        address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        client, now = HttpClientService(), time.monotonic()
        request = OutgoingRequest(
            "GET",
            b"/feed",
            (),
            b"",
            now + DEADLINE_SECONDS,
            start_deadline=now + START_SECONDS,
            max_stall_seconds=STALL_SECONDS,
        )
        refusal = await client.send(address, request, CollectedResponse(100))
        seconds = time.monotonic() - now
        await client.stop()
        await asyncio.gather(*handlers)
        server.close()
        return refusal, seconds

    @pytest.mark.parametrize(
        ("parts", "detail"),
        [
            ((), "answer overdue"),
            ((b"HTTP/1.1 200 OK\r\n",), "answer stalled"),
            ((b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nabc",), "answer stalled"),
        ],
    )
    def test_lost_response_is_detected_before_the_deadline(self, parts, detail):
        refusal, seconds = asyncio.run(self.request(*parts))
        assert refusal.kind is ErrorKind.UPSTREAM_TIMEOUT and refusal.detail == detail
        assert seconds < DEADLINE_SECONDS / 2

    def test_slow_response_is_complete(self):
        head = b"HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\n"
        parts = [head, *(b"%d" % number for number in range(6))]
        refusal, seconds = asyncio.run(self.request(*parts))
        assert refusal is None
        assert seconds > START_SECONDS + STALL_SECONDS
