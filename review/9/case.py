"""A stopping daemon closes a connection on which the client still sends.

The client reads an answer more slowly than the daemon writes it, and sends a further
request meanwhile. The closed socket answers that with a reset, which also drops the
rest of the answer.
"""

import asyncio
import signal
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))

from mesh import (  # noqa: E402
    TROUBLE,
    CannotRun,
    build_config,
    build_request,
    build_response,
    new_id,
    run_case,
)

CLIENTS = 10
DEADLINE_SECONDS = 3.0
# Below the largest answer of the site (540,000 bytes).
BODY = b"0123456789" * 30_000
SERVICE_SECONDS = 0.13
# A client that is 8 ms away gets one window in each 16 ms.
WINDOW_BYTES = 32 * 1024
ROUND_TRIP_SECONDS = 0.016
# Requests that a client sends before the first of them is answered, and their interval.
MAX_OUTSTANDING = 4
SEND_INTERVAL_SECONDS = 0.02
# Clients of a machine get no new work after two questions, 1 s apart, without a 200.
LEAVE_SECONDS = 2.0


async def behave(server, request, writer):
    await asyncio.sleep(SERVICE_SECONDS)
    writer.write(build_response(200, BODY, server.build_headers(request)))


class Client:
    """Send safe requests on a connection, some before the first is answered."""

    def __init__(self, mesh, daemon):
        self.mesh, self.daemon = mesh, daemon
        self.has_left = False
        self.complete = 0
        self.cut = []

    async def run(self):
        while not self.has_left:
            try:
                await self.use_connection()
            except ConnectionRefusedError:
                await asyncio.sleep(0.1)

    async def use_connection(self):
        loop = asyncio.get_running_loop()
        host, port = self.daemon.listen["outbound"].split(":")
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        connection.setblocking(False)
        try:
            await loop.sock_connect(connection, (host, int(port)))
            await self.exchange(connection)
        finally:
            connection.close()

    async def exchange(self, connection):
        outstanding, received, may_send, sent_at = [], b"", True, 0.0
        while True:
            now = time.monotonic()
            may_send = may_send and not self.has_left
            if (
                may_send
                and len(outstanding) < MAX_OUTSTANDING
                and now - sent_at >= SEND_INTERVAL_SECONDS
            ):
                request_id = new_id()
                deadline_ms = int(1000 * DEADLINE_SECONDS)
                data = build_request("GET", "/bundle/1", request_id, deadline_ms)
                try:
                    connection.send(data)
                except OSError:
                    may_send = False
                else:
                    outstanding.append((request_id, now))
                    sent_at = now
                    self.mesh.record.note("sent", self.daemon.name, request_id)
            if not outstanding:
                return
            await asyncio.sleep(ROUND_TRIP_SECONDS)
            try:
                data = connection.recv(WINDOW_BYTES)
            except BlockingIOError:
                continue
            except OSError as error:
                self.note_end(outstanding, received, repr(error))
                return
            if not data:
                self.note_end(outstanding, received, "end of the stream")
                return
            received += data
            while (end := received.find(b"\r\n\r\n")) >= 0:
                head = received[:end].decode().lower()
                if "\r\nconnection: close" in head:
                    may_send = False
                length = int(head.split("\r\ncontent-length: ")[1].split("\r\n")[0])
                if len(received) < end + 4 + length:
                    break
                request_id, _ = outstanding.pop(0)
                self.complete += 1
                self.mesh.record.note("answered", request_id, head.split()[1])
                received = received[end + 4 + length :]

    def note_end(self, outstanding, received, reason):
        """Count the oldest request if its server ran it and its time was not over."""
        request_id, sent_at = outstanding[0]
        age = time.monotonic() - sent_at
        has_run = any(
            request.get("request-id") == request_id
            for daemon in self.mesh.daemons
            for _, request in daemon.server.runs
        )
        note = f"after {age:.2f} s and {len(received)} bytes: {reason}"
        self.mesh.record.note("cut", request_id, "run" if has_run else "not run", note)
        if has_run and age < DEADLINE_SECONDS - 0.2:
            self.cut.append(request_id)


async def case(mesh):
    routes = [("/bundle/", "safe", "pattern-archive", {"timeout": "3000ms"})]
    config = build_config(1, routes)
    await mesh.start(["pattern-archive"] * 3, behave, config)
    stopped = mesh.daemons[0]
    clients = [Client(mesh, stopped) for _ in range(CLIENTS)]
    tasks = [asyncio.create_task(client.run()) for client in clients]
    await asyncio.sleep(3)
    if TROUBLE:
        stopped.send_signal(signal.SIGTERM)
    await asyncio.sleep(LEAVE_SECONDS)
    for client in clients:
        client.has_left = True
    await asyncio.wait(tasks, timeout=5)
    complete = sum(client.complete for client in clients)
    cut = [request_id for client in clients for request_id in client.cut]
    print(f"{complete} complete answers; {len(cut)} cut off after they had run")
    if not complete:
        raise CannotRun("no request was answered")
    return bool(cut)


run_case(case, Path(__file__).resolve().parent)
