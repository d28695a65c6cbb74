"""A request on an upload route whose time is nearly over stops its daemon for good."""

import asyncio
import os
import random
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

# The smaller of the first two sites has 9 machines, the larger one 12.
DAEMONS = 12
SLOTS = 18
# Requests a second at each machine; kmct-accra has 46.
RATE = 46
CLIENTS = 16
# The class carga-tapete of the site file: its mean work time and its deadline.
WORK_SECONDS = 0.094
DEADLINE_MS = 2044
TIMEOUT_MS = 2044
# Changes of the timeout in quick succession, with the dose of the site file
# (config_storm, for_s = 5.0, gap_s = 0.25), again and again.
SHORT_TIMEOUTS_MS = (60, 160)
STORM_SECONDS = 5.0
STORM_GAP_SECONDS = 0.25
PAUSE_SECONDS = 2.0
CALM_SECONDS = 3
TROUBLE_SECONDS = 65
# A daemon that answers neither its clients nor the platform for this long hangs.
SILENCE_SECONDS = 6
CHECK_SECONDS = 6
BUSY_SHARE = 0.3
random.seed(10)


def build_version(version, timeout_ms):
    options = {"timeout": f"{timeout_ms}ms", "target": "817ms"}
    return build_config(version, [("/mat/", "upload", "chips", options)])


async def behave(server, request, writer):
    await asyncio.sleep(WORK_SECONDS * random.lognormvariate(-0.045, 0.3))
    writer.write(build_response(200, b"stored", server.build_headers(request)))


class Client:
    """Send uploads on a kept connection, each some time after the answer before."""

    def __init__(self, mesh, daemon):
        self.mesh, self.daemon = mesh, daemon
        self.statuses = Counter()
        self.unanswered = ""

    async def run(self, ends_at):
        host, port = self.daemon.listen["outbound"].split(":")
        while time.monotonic() < ends_at and not self.unanswered:
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                while time.monotonic() < ends_at and await self.ask(reader, writer):
                    await asyncio.sleep(random.uniform(0, 2 * CLIENTS / RATE - 0.2))
            finally:
                writer.close()

    async def ask(self, reader, writer):
        """Send an upload; return whether the connection may carry another."""
        request_id = new_id()
        writer.write(build_request("POST", "/mat/1", request_id, DEADLINE_MS, b"x" * 3000))
        try:
            answer = await asyncio.wait_for(read_message(reader), SILENCE_SECONDS)
        except TimeoutError:
            self.unanswered = request_id
            self.mesh.record.note("sent, no answer", self.daemon.name, request_id)
            return False
        if answer is None:
            return False
        if answer.status != 503:
            self.mesh.record.note("answered", request_id, answer.status)
        self.statuses[answer.status] += 1
        return answer.get("connection") != "close"


def read_processor_seconds(daemon):
    fields = Path(f"/proc/{daemon.process.pid}/stat").read_text().rpartition(")")[2]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


async def check_hang(daemon):
    """Return whether a daemon without traffic uses the processor and answers nobody."""
    before = read_processor_seconds(daemon)
    started_at = time.monotonic()
    answers = 0
    while time.monotonic() < started_at + CHECK_SECONDS:
        answers += await daemon.is_ready()
        await asyncio.sleep(0.5)
    share = (read_processor_seconds(daemon) - before) / (time.monotonic() - started_at)
    daemon.mesh.record.note(
        "check", daemon.name, f"processor {share:.2f}, {answers} answers to ready"
    )
    print(f"{daemon.name}: {share:.0%} of a processor, {answers} answers to ready")
    return share > BUSY_SHARE and not answers


async def change_timeouts(mesh, ends_at):
    """Send storms of versions that change the timeout of the route."""
    version = 1
    while time.monotonic() < ends_at:
        storm_ends_at = time.monotonic() + STORM_SECONDS
        while time.monotonic() < min(storm_ends_at, ends_at):
            version += 1
            timeout_ms = random.randint(*SHORT_TIMEOUTS_MS)
            mesh.set_config(build_version(version, timeout_ms))
            await asyncio.sleep(STORM_GAP_SECONDS)
        await asyncio.sleep(PAUSE_SECONDS)


async def case(mesh):
    mesh.slots = SLOTS
    await mesh.start(["chips"] * DAEMONS, behave, build_version(1, TIMEOUT_MS))
    started_at = time.monotonic()
    ends_at = started_at + CALM_SECONDS + TROUBLE_SECONDS
    clients = [Client(mesh, d) for d in mesh.daemons for _ in range(CLIENTS)]
    tasks = [asyncio.create_task(client.run(ends_at)) for client in clients]
    await asyncio.sleep(CALM_SECONDS)
    if TROUBLE:
        tasks.append(asyncio.create_task(change_timeouts(mesh, ends_at)))
    while time.monotonic() < ends_at:
        await asyncio.sleep(0.5)
        if any(client.unanswered for client in clients):
            break
    statuses = sum((client.statuses for client in clients), Counter())
    seconds = time.monotonic() - started_at
    print(f"statuses {dict(statuses)} in {seconds:.0f} s")
    silent = {c.daemon.name: c.daemon for c in clients if c.unanswered}
    for task in tasks:
        task.cancel()
    await asyncio.wait(tasks)
    hangs = await asyncio.gather(*(check_hang(d) for d in silent.values()))
    if not statuses[200]:
        raise CannotRun("no request was served")
    return any(hangs)


run_case(case, Path(__file__).resolve().parent)
