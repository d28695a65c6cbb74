"""A leave that only killed daemons knew of is forgotten, and the server gets requests."""

import asyncio
import json
import signal
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
    read_message,
    run_case,
)

DAEMONS = 6
DRAIN_SECONDS = 2.0
STABLE_SECONDS = 3.0
# The doses of the site file: platform_down, how = "silent", for_s = 8.0; herd_kill.
SILENT_SECONDS = 1.5
DOWN_SECONDS = 0.66
# A heartbeat may arrive seconds late, a leaving server may go on for many seconds.
LATE_SECONDS = 4.5
SERVE_SECONDS = 12.0


async def behave(server, request, writer):
    await asyncio.sleep(0.05)
    writer.write(build_response(200, b"ok", server.build_headers(request)))


async def send_requests(mesh, daemon, ends_at):
    """Send safe requests on kept connections, as far as the daemon answers."""
    host, port = daemon.listen["outbound"].split(":")
    served = 0
    while time.monotonic() < ends_at:
        try:
            async with asyncio.timeout(3):
                reader, writer = await asyncio.open_connection(host, int(port))
                for _ in range(10):
                    writer.write(build_request("GET", "/lookup/1", new_id(), 1200))
                    answer = await read_message(reader)
                    if answer is None:
                        break
                    served += answer.status == 200
                    await asyncio.sleep(0.03)
                writer.close()
        except (OSError, EOFError, TimeoutError):
            await asyncio.sleep(0.1)
    return served


async def case(mesh):
    routes = [("/lookup/", "safe", "stall-ledger", {"timeout": "1200ms"})]
    await mesh.start(["stall-ledger"] * DAEMONS, behave, build_config(1, routes))
    leaving = mesh.daemons[0].server
    ends_at = time.monotonic() + 2 + SERVE_SECONDS
    tasks = [asyncio.create_task(send_requests(mesh, d, ends_at)) for d in mesh.daemons]
    await asyncio.sleep(2)
    # Sent just before the leave; arrives late.
    leaving.seq += 1
    heartbeat = {
        "service": leaving.service,
        "address": leaving.address,
        "zone": "a",
        "version": "v1",
        "slots": leaving.slots,
        "state": "ready",
        "cold-remaining": "0ms",
        "seq": leaving.seq,
        "born": leaving.born,
    }
    leaving._beats.cancel()
    leaving.state = "draining"
    began_at = time.monotonic()
    if TROUBLE:
        mesh.store.is_silent = True
        mesh.record.note("store silent")
    acknowledged_at = None
    while acknowledged_at is None and time.monotonic() < began_at + 3:
        if await leaving.tell("DELETE") == 200:
            acknowledged_at = time.monotonic()
            mesh.record.note("leave acknowledged", leaving.name)
    if acknowledged_at is None:
        raise CannotRun("the leave was not acknowledged")
    in_touch_at = acknowledged_at
    if TROUBLE:
        for daemon in mesh.daemons:
            daemon.send_signal(signal.SIGKILL)
        await asyncio.gather(*(daemon.process.wait() for daemon in mesh.daemons))
        await asyncio.sleep(DOWN_SECONDS)
        for daemon in mesh.daemons:
            await daemon.start()
        await asyncio.sleep(max(0.0, began_at + SILENT_SECONDS - time.monotonic()))
        mesh.store.is_silent = False
        mesh.record.note("store back")
        in_touch_at = time.monotonic() + STABLE_SECONDS
    await asyncio.sleep(max(0.0, began_at + LATE_SECONDS - time.monotonic()))
    status = await leaving.tell("PUT", json.dumps(heartbeat).encode())
    mesh.record.note("late heartbeat", leaving.name, status)
    served = sum(await asyncio.gather(*tasks))
    counted_from = max(acknowledged_at + DRAIN_SECONDS, in_touch_at)
    late = [at for at, _ in leaving.runs if at > counted_from]
    print(f"{served} served; {len(late)} reached the server after its leave")
    if not served:
        raise CannotRun("no request was served")
    return bool(late)


run_case(case, Path(__file__).resolve().parent)
