"""Test that no copy of a refusal, however framed, denies that a request ran."""

from __future__ import annotations

import asyncio
import random
import time

import pytest

from flamingohead.core.errors import ErrorKind
from flamingohead.platform.dialect import PLATFORM_DIALECT
from flamingohead.services.dispatch import ResponseRelay
from flamingohead.services.http_client import HttpClientService
from flamingohead.services.http_messages import OutgoingRequest
from flamingohead.tests.test_slots import FakeResponse

IDS = (b"a", b"A", b"a.1", b"b", b"")
METHODS = ("GET", "POST", "HEAD")
SENDERS = 3
REQUESTS = 150
DEADLINE_SECONDS = 0.3
REFUSED_SHARE = 0.5
MAX_PAUSE_SECONDS = 0.003
STATUSES = (b"503 No", b"429 No", b"421 No", b"408 No", b"400 No", b"200 OK")


class _Response(FakeResponse):
    def write(self, data):
        pass


class CopyingUpstream:
    """Refuse or run requests, and write copies of refusals at any moment."""

    def __init__(self, generator):
        self.generator = generator
        self.runs = set()
        self.copies = 0

    def frame(self, status, request_id, method):
        choice = self.generator.choice
        head = b"HTTP/1.1 %b\r\nnot-executed: 1\r\n" % status
        echo = b"request-id: %b\r\n" % request_id if request_id else b""
        head = choice([head + echo, head + echo, head + echo, head])
        if method == "HEAD":
            return head + b"content-length: 5\r\n\r\n", True
        kind = choice(["length", "chunks", "interim", "trailers", "close"])
        if kind == "close":
            return head + b"\r\nno", False
        if kind == "interim":
            interim = b"HTTP/1.1 103 Early\r\nrequest-id: a\r\n\r\n"
            return interim + head + b"content-length: 0\r\n\r\n", True
        if kind == "length":
            return head + b"content-length: 2\r\n\r\nno", True
        end = b"0\r\nrequest-id: b\r\n\r\n" if kind == "trailers" else b"0\r\n\r\n"
        return head + b"transfer-encoding: chunked\r\n\r\n2\r\nno\r\n" + end, True

    async def write(self, writer, data):
        cut = self.generator.randrange(len(data) + 1)
        writer.write(data[:cut])
        if self.generator.random() < 0.5:
            await asyncio.sleep(self.generator.random() * MAX_PAUSE_SECONDS)
        writer.write(data[cut:])

    async def serve(self, reader, writer):
        pending = []
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                method, target = head.split(b" ", 2)[:2]
                request_id = head.partition(b"request-id: ")[2].split(b"\r")[0]
                while pending and self.generator.random() < 0.7:
                    self.copies += 1
                    await self.write(writer, pending.pop())
                if self.generator.random() < REFUSED_SHARE:
                    status = self.generator.choice(STATUSES)
                    data, keeps = self.frame(status, request_id, method.decode())
                    if not keeps:
                        await self.write(writer, data)
                        return
                    moment = self.generator.choice(["glued", "later", "next", "none"])
                    await self.write(writer, data + data * (moment == "glued"))
                    self.copies += moment in ("glued", "later")
                    if moment == "later":
                        await asyncio.sleep(self.generator.random() * MAX_PAUSE_SECONDS)
                        await self.write(writer, data)
                    elif moment == "next":
                        pending.append(data)
                    continue
                self.runs.add(target)
                echo = b"request-id: %b\r\n" % request_id if request_id else b""
                await asyncio.sleep(self.generator.random() * MAX_PAUSE_SECONDS)
                body = b"" if method == b"HEAD" else b"yes"
                answer = b"HTTP/1.1 200 OK\r\n%bcontent-length: 3\r\n\r\n%b"
                await self.write(writer, answer % (echo, body))
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()


async def send_all(seed, *, echoes):
    generator = random.Random(seed)
    upstream = CopyingUpstream(generator)
    server = await asyncio.start_server(upstream.serve, "127.0.0.1", 0)
    address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
    client = HttpClientService()
    refused, targets = set(), iter(range(REQUESTS))

    async def send():
        for number in targets:
            target = b"/%d" % number
            request_id = generator.choice(IDS)
            request = OutgoingRequest(
                generator.choice(METHODS),
                target,
                ((b"request-id", request_id),) if request_id else (),
                b"",
                time.monotonic() + DEADLINE_SECONDS,
                allows_close_delimited=True,
                echoes_request_id=echoes,
            )
            relay = ResponseRelay(_Response(), PLATFORM_DIALECT)
            coroutine = client.send(address, request, relay, on_connection=relay.attach)
            if generator.random() < 0.1:
                task = asyncio.create_task(coroutine)
                await asyncio.sleep(generator.random() * MAX_PAUSE_SECONDS)
                task.cancel()
                await asyncio.wait([task])
                continue
            refusal = await coroutine
            is_unreachable = refusal is not None and (
                refusal.kind is ErrorKind.UPSTREAM_UNREACHABLE
            )
            if is_unreachable or (refusal is None and relay.not_executed):
                refused.add(target)

    await asyncio.gather(*(send() for _ in range(SENDERS)))
    await client.stop()
    server.close()
    return upstream, refused


class TestCopies:
    @pytest.mark.parametrize("echoes", [True, False])
    @pytest.mark.parametrize("seed", range(4))
    def test_copy_denies_no_execution(self, seed, echoes):
        upstream, refused = asyncio.run(send_all(seed, echoes=echoes))
        assert upstream.copies > 0 and refused and upstream.runs
        assert refused & upstream.runs == set()
