"""One broken answer ends the pipelined requests behind it, which sound servers run."""

import asyncio
import itertools
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib2"))

from mesh import (  # noqa: E402
    TROUBLE,
    CannotRun,
    build_config,
    build_request,
    build_response,
    new_id,
    read_message,
    run_case,
)

CLIENTS = 10
# Requests that a client sends before the first of them is answered.
PIPELINED = 8
DEADLINE_MS = 3000
# Below the largest answer of the site (540,000 bytes).
BODY = b"0123456789" * 20_000
SERVICE_SECONDS = 0.05
# The dose of the site file: garble, share = 0.35, x = 0.02, for_s = 5.5; one of three
# servers breaks off answers.
GARBLE_EVERY = 50
GARBLE_SECONDS = 5.5
# Closed connections with an unanswered request that the rule allows.
ALLOWED = 3


async def behave(server, request, writer):
    await asyncio.sleep(SERVICE_SECONDS)
    answer = build_response(200, BODY, server.build_headers(request))
    is_unsound = server is server.mesh.unsound and server.mesh.is_troubled
    if is_unsound and next(server.mesh.numbers) % GARBLE_EVERY == 0:
        server.mesh.record.note("broken off", request.get("request-id"))
        writer.write(answer[: len(answer) * 3 // 4])
        await writer.drain()
        writer.close()
        return False
    writer.write(answer)


class Client:
    """Send some safe requests at once on a kept connection, and read their answers."""

    def __init__(self, mesh, daemon):
        self.mesh, self.daemon = mesh, daemon
        self.statuses = Counter()
        self.unanswered = []

    async def run(self, ends_at):
        host, port = self.daemon.listen["outbound"].split(":")
        while time.monotonic() < ends_at:
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                while time.monotonic() < ends_at and await self.ask(reader, writer):
                    await asyncio.sleep(0.02)
            finally:
                writer.close()

    async def ask(self, reader, writer):
        """Send requests; return whether all are answered on an open connection."""
        waiting = [new_id() for _ in range(PIPELINED)]
        writer.write(
            b"".join(build_request("GET", "/search/1", i, DEADLINE_MS) for i in waiting)
        )
        self.mesh.record.note("sent", *waiting)
        ends_at = time.monotonic() + DEADLINE_MS / 1000
        while waiting:
            try:
                answer = await asyncio.wait_for(read_message(reader), 5)
            except (EOFError, ConnectionError):
                answer = None
            if answer is None:
                if time.monotonic() < ends_at:
                    self.unanswered += waiting
                self.mesh.record.note("closed without an answer to", *waiting)
                return False
            request_id = waiting.pop(0)
            self.statuses[answer.status] += 1
            self.mesh.record.note("answered", request_id, answer.status)
            if answer.get("connection") == "close":
                return False
        return True


async def case(mesh):
    mesh.is_troubled = False
    mesh.numbers = itertools.count(1)
    routes = [
        ("/search/", "safe", "pattern-archive", {"timeout": "3000ms"}),
        ("/lookup/", "safe", "stall-ledger", {}),
    ]
    # Callers beside the other service use all three servers of the archive.
    services = ["pattern-archive"] * 3 + ["stall-ledger"]
    await mesh.start(services, behave, build_config(1, routes))
    mesh.unsound = mesh.daemons[2].server
    clients = [Client(mesh, mesh.daemons[3]) for _ in range(CLIENTS)]
    mesh.is_troubled = TROUBLE
    ends_at = time.monotonic() + GARBLE_SECONDS
    await asyncio.gather(*(client.run(ends_at) for client in clients))
    sound_runs = {
        request.get("request-id")
        for daemon in mesh.daemons
        if daemon.server is not mesh.unsound
        for _, request in daemon.server.runs
    }
    unsound_runs = {r.get("request-id") for _, r in mesh.unsound.runs}
    lost = [
        request_id
        for client in clients
        for request_id in client.unanswered
        if request_id in sound_runs and request_id not in unsound_runs
    ]
    for request_id in lost:
        mesh.record.note("lost", request_id)
    statuses = sum((client.statuses for client in clients), Counter())
    print(f"statuses {dict(statuses)}; {len(lost)} at sound servers without an answer")
    if not statuses[200]:
        raise CannotRun("no request was answered")
    return len(lost) > ALLOWED


run_case(case, Path(__file__).resolve().parent)
