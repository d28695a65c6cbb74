"""Test that a caller that reads slowly pauses no connection of another request."""

from __future__ import annotations

import asyncio
import time
from dataclasses import replace

from flamingohead.services.buffered_response import BufferedResponse
from flamingohead.services.dispatch import ResponseRelay
from flamingohead.services.http_client import HttpClientService
from flamingohead.services.http_server import HttpServerFactory
from flamingohead.services.transport import listen
from flamingohead.testing.http import FakeCaller
from flamingohead.testing.transports import FakeTransport, RecordingSink
from flamingohead.tests.test_second_answers import build_answer, build_request

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
DEADLINE_SECONDS = 1.0
LARGE_BODY = b"x" * 60_000
NEXT_REQUESTS = 8


class FullTransport(FakeTransport):
    """Pause the producer at the first write, as a full write buffer does."""

    def write(self, data):
        super().write(data)
        self.protocol.pauseProducing()


async def serve(reader, writer):
    try:
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            request_id = head.lower().partition(b"request-id: ")[2].split(b"\r")[0]
            body = LARGE_BODY if request_id.startswith(b"large") else b"yes"
            writer.write(build_answer(request_id, body))
    except (asyncio.IncompleteReadError, OSError):
        pass
    finally:
        writer.close()


async def send(client, address, request_id, sink, **options):
    deadline = time.monotonic() + DEADLINE_SECONDS
    request = replace(build_request(request_id), deadline=deadline)
    return await client.send(address, request, sink, **options)


class TestReleasedConnections:
    """Guard against the time-out of a request whose connection another one paused."""

    async def send_after_a_slow_caller(self):
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
        client = HttpClientService()
        caller = FakeCaller(responds_at_once=False)
        caller.transport.__class__ = FullTransport
        caller.deliver(REQUEST)
        buffered = BufferedResponse(caller.responses[0])
        relay = ResponseRelay(buffered)
        assert await send(client, address, b"a", relay, on_connection=relay.attach) is (
            None
        )
        buffered.deliver()
        assert caller.list_statuses() == [200]
        # The caller reads; no response is in progress.
        caller.protocol.resumeProducing()
        sink = RecordingSink()
        refusal = await send(client, address, b"b", sink)
        await client.stop()
        server.close()
        return refusal, sink

    def test_next_request_of_the_connection_gets_its_answer(self):
        refusal, sink = asyncio.run(self.send_after_a_slow_caller())
        assert refusal is None
        assert sink.body == b"yes"


class TestSlowCallers:
    """Guard against time-outs behind a caller that reads its responses late."""

    async def forward(self, client, address, request, response, results):
        buffered = BufferedResponse(response)
        relay = ResponseRelay(buffered)
        request_id = request.get_header(b"request-id")
        refusal = await send(
            client, address, request_id, relay, on_connection=relay.attach
        )
        results.append(refusal)
        if refusal is None:
            buffered.deliver()
        else:
            response.refuse(refusal, time.monotonic())

    async def send_after_a_slow_caller(self):
        upstream = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = "127.0.0.1:%d" % upstream.sockets[0].getsockname()[1]
        client = HttpClientService()
        slow_results, results, tasks = [], [], []

        def handle(request, response):
            forward = self.forward(client, address, request, response, slow_results)
            tasks.append(asyncio.get_running_loop().create_task(forward))

        factory = HttpServerFactory(handle, lambda refusal: None)
        server = await listen(factory, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        while not factory.connections:
            await asyncio.sleep(0.001)
        [caller] = factory.connections
        while not caller.is_write_paused:
            writer.write(
                b"GET / HTTP/1.1\r\nHost: h\r\nRequest-Id: large%d\r\n\r\n"
                % len(slow_results)
            )
            answered = len(slow_results)
            while len(slow_results) == answered:
                await asyncio.sleep(0.001)
        received = b""
        while received.count(b"HTTP/1.1 ") < len(slow_results):
            received += await reader.read(2**20)
        assert not caller.is_write_paused
        for number in range(NEXT_REQUESTS):
            sink = RecordingSink()
            results.append(await send(client, address, b"%d" % number, sink))
        writer.close()
        await client.stop()
        server.close()
        upstream.close()
        return slow_results, results

    def test_requests_are_answered(self):
        slow_results, results = asyncio.run(self.send_after_a_slow_caller())
        assert [r for r in slow_results + results if r is not None] == []
