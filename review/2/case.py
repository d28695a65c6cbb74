"""Stop the daemon of the only worker of a service while its clients go on."""

from __future__ import annotations

import asyncio
import math
import random
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from standins import (  # noqa: E402
    Daemon,
    Mesh,
    Outcome,
    Platform,
    Record,
    Route,
    Run,
    now,
    run_case,
    send_request,
    start_mesh,
    wait_until_ready,
)

HOSTS = [
    ("makola", "stall-ledger"),
    ("osu", "stall-ledger"),
    ("tema", "pattern-archive"),
]
GRACE = 6.0
# Requests a second from the clients of the machine that is stopped.
RATE = 24.0
WARM_UP = 8.0
ROUNDS = 3
# Of archive-search in the site file.
MEAN_WORK, SPREAD, MAX_WORK = 0.64, 0.8, 4.8
TIMEOUT_MS, DEADLINE_MS = 3000, 5000


def draw_work(generator: random.Random) -> float:
    """Draw a work time: log-normal, with the mean and relative spread of the site."""
    sigma = math.sqrt(math.log(1 + SPREAD**2))
    mu = math.log(MEAN_WORK) - sigma**2 / 2
    return min(generator.lognormvariate(mu, sigma), MAX_WORK)


async def main(
    record: Record, folder: Path, trouble: bool, daemons: list[Daemon]
) -> bool:
    generator = random.Random(31)

    def work(request) -> tuple[float, int]:
        path = request.first_line[1]
        seconds = draw_work(generator) if path.startswith("/search/") else 0.16
        return seconds, 1500

    routes = [
        Route("/lookup/", "stall-ledger", timeout_ms=1200, target_ms=500),
        Route(
            "/search/",
            "pattern-archive",
            timeout_ms=TIMEOUT_MS,
            target_ms=4000,
            priority=2,
        ),
    ]
    mesh = await start_mesh(folder, daemons, HOSTS, routes, work)
    platform = Platform(daemons)
    platform.start()

    lost = 0
    for number in range(1, ROUNDS + 1):
        lost += await run_round(number, record, mesh, platform, generator, trouble)
    record.write("summary", rounds=ROUNDS, lost=lost)
    return lost > 0


async def run_round(
    number: int,
    record: Record,
    mesh: Mesh,
    platform: Platform,
    generator: random.Random,
    trouble: bool,
) -> int:
    """Stop the daemon once under load and start it again; return what was lost."""
    tema = mesh.daemons[2]
    outcomes: dict[str, Outcome] = {}

    async def search(request_id: str) -> None:
        outcomes[request_id] = await send_request(
            tema.outbound, "GET", f"/search/{request_id}", request_id, DEADLINE_MS
        )

    tasks = []
    stop_at = now() + WARM_UP
    stopped = False
    while now() < stop_at + GRACE + 1.0:
        if trouble and not stopped and now() >= stop_at:
            stopped = True
            stop_at = now()
            record.write("sigterm", round=number, daemon=tema.name)
            tema.send_signal(signal.SIGTERM)
        if platform.gives_work(tema):
            request_id = f"s{number}-{len(tasks)}"
            tasks.append(asyncio.create_task(search(request_id)))
        await asyncio.sleep(generator.expovariate(RATE))
    if stopped:
        record.write("ended", daemon=tema.name, code=await tema.wait(3.0))
        await tema.start()
        if not await wait_until_ready(mesh.daemons):
            raise RuntimeError("the stopped daemon is not ready again")
    await asyncio.wait(tasks)

    runs = {run.request_id: run for run in mesh.runs}
    lost = 0
    for request_id, outcome in outcomes.items():
        run = runs.get(request_id)
        breaks = run is not None and is_lost(outcome, run, stop_at)
        lost += breaks
        record.write(
            "request",
            id=request_id,
            sent=f"{outcome.sent_at - stop_at:.3f}",
            ended=f"{outcome.ended_at - stop_at:.3f}",
            outcome=outcome.kind,
            status=outcome.status,
            stamp=outcome.stamp or "-",
            run="-" if run is None else f"{run.started_at - stop_at:.3f}",
            run_ended="-" if run is None else f"{run.ended_at - stop_at:.3f}",
            run_outcome="-" if run is None else run.outcome,
            lost="yes" if breaks else "no",
        )
    answered = sum(o.status == 200 for o in outcomes.values())
    record.write(
        "round", number=number, sent=len(outcomes), answered=answered, lost=lost
    )
    return lost


def is_lost(outcome: Outcome, run: Run, stop_at: float) -> bool:
    """Return whether the rule LOST counts a request that a worker began to run."""
    sent, ended = outcome.sent_at - stop_at, outcome.ended_at - stop_at
    own_answer = outcome.kind == "answer" and not outcome.stamp
    if not (outcome.kind == "cut" or own_answer) or not 0 <= ended <= GRACE + 1.0:
        return False
    if run.outcome == "done" and run.ended_at < outcome.ended_at - 0.2 and own_answer:
        # The worker was no longer at work on it.
        return False
    if ended - sent >= TIMEOUT_MS / 1000 - 0.05:
        return False
    # The worker was at work in the last sixth of the grace period, on a request that
    # was sent no later than 3 s after the SIGTERM.
    return not (sent <= 3.0 and run.ended_at - stop_at >= GRACE * 5 / 6)


if __name__ == "__main__":
    run_case(main, Path(__file__).resolve().parent)
