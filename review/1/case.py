"""A worker leaves while the store is down; its daemon is restarted after that."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from standins import (  # noqa: E402
    Daemon,
    Record,
    Route,
    call_api,
    now,
    run_case,
    send_request,
    start_mesh,
)

HOSTS = [
    ("makola", "stall-ledger"),
    ("makola", "pattern-archive"),
    ("osu", "stall-ledger"),
    ("tema", "pattern-archive"),
]
DRAIN, STABLE_WINDOW, GRACE = 2.0, 3.0, 6.0
# Times after the start of the disruption of the store, in seconds.
STORE_DOWN_SECONDS = 4.5
LEAVE_AT, RESTART_SECONDS = 0.5, 0.3
# The heartbeat that was sent just before the DELETE arrives this late.
BEAT_DELAY = 4.5
SERVED_AFTER_LEAVE = 12.0
RATE = 20.0


async def main(
    record: Record, folder: Path, trouble: bool, daemons: list[Daemon]
) -> bool:
    def work(request) -> tuple[float, int]:
        return 0.13, 1500

    routes = [
        Route("/lookup/", "stall-ledger", timeout_ms=1200, target_ms=500),
        Route(
            "/bundle/", "pattern-archive", "download", timeout_ms=1000, target_ms=400
        ),
    ]
    mesh = await start_mesh(folder, daemons, HOSTS, routes, work)
    tema, worker = daemons[3], mesh.workers[3]
    await asyncio.sleep(4.0)
    began_at = now()
    acknowledged_at = None
    in_touch_from = None

    async def send_late_beat(beat: bytes) -> None:
        await asyncio.sleep(BEAT_DELAY)
        path = f"/v1/instances/{worker.name}"
        status = await call_api(tema.control, "PUT", path, beat)
        record.write("late-heartbeat", status=status, at=f"{now() - began_at:.3f}")

    async def run_events() -> None:
        nonlocal acknowledged_at, in_touch_from
        mesh.store.silent = trouble
        record.write("store", silent=trouble)
        await asyncio.sleep(LEAVE_AT)
        worker.stop_beats()
        late = asyncio.create_task(
            send_late_beat(json.dumps(worker.build_beat()).encode())
        )
        status = await worker.leave()
        if status != 200:
            raise RuntimeError(f"the leave was answered with {status}")
        acknowledged_at = now()
        record.write("leave-acknowledged", at=f"{acknowledged_at - began_at:.3f}")
        if trouble:
            tema.send_signal(signal.SIGTERM)
            record.write("sigterm", daemon=tema.name, at=f"{now() - began_at:.3f}")
            code = await tema.wait(GRACE)
            record.write("ended", code=code, at=f"{now() - began_at:.3f}")
            await tema.kill()
            await asyncio.sleep(RESTART_SECONDS)
            await tema.start()
            record.write("started", daemon=tema.name, at=f"{now() - began_at:.3f}")
        restarted_at = now()
        await asyncio.sleep(max(0.0, began_at + STORE_DOWN_SECONDS - now()))
        mesh.store.silent = False
        record.write("store", silent=False, at=f"{now() - began_at:.3f}")
        in_touch_from = max(now(), restarted_at) + STABLE_WINDOW
        await late

    events = asyncio.create_task(run_events())
    tasks = {}
    number = 0
    while now() < began_at + LEAVE_AT + SERVED_AFTER_LEAVE:
        number += 1
        for daemon in daemons[:3]:
            request_id = f"b{number}-{daemon.name}"
            tasks[request_id] = asyncio.create_task(
                send_request(
                    daemon.outbound, "GET", f"/bundle/{number}", request_id, 1000
                )
            )
        await asyncio.sleep(1 / RATE)
    await events
    await asyncio.wait(tasks.values())
    # Both the sending daemons and that of the worker are in touch from then on.
    counted_from = max(in_touch_from, acknowledged_at + DRAIN)
    late = [run for run in worker.runs if run.started_at > counted_from]
    for run in worker.runs:
        if run.started_at > acknowledged_at:
            record.write(
                "run",
                id=run.request_id,
                worker=run.worker,
                after_acknowledgement=f"{run.started_at - acknowledged_at:.3f}",
                counted="yes" if run in late else "no",
            )
    record.write("summary", sent=len(tasks), counted=len(late))
    return bool(late)


if __name__ == "__main__":
    run_case(main, Path(__file__).resolve().parent)
