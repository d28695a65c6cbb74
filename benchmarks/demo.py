"""Demo of a small local mesh under load, with one daemon killed.

The exit code is 0 only if no response was missing, truncated or of another request, at
least 90 % of the requests were answered, no key ran twice, and none was reported as not
run after it had run.
"""

from __future__ import annotations

import asyncio
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from benchmarks.judge import check_journal, check_load, collect_journal
from benchmarks.load import LoadGenerator, Stream
from flamingohead.core.sheets import parse_sheet
from flamingohead.services.reactor import run_until_stopped
from flamingohead.testing.processes import TOKEN, LocalMesh

DOMAINS = ("makola", "osu")
DAEMONS_PER_DOMAIN = 3
LOAD_SECONDS = 12.0
EXAMPLES = Path(__file__).resolve().parents[1] / "examples"
SERVICES = ("stall-ledger", "pattern-archive", "stall-ledger")
STREAMS = [
    Stream("lookup", "GET", "/ledger/lookup", 60, 60, 10),
    Stream("hand-over", "POST", "/ledger/hand-over", 15, 250, 10, keyed=True),
    Stream("index-check", "GET", "/archive/index", 20, 50, 4),
    Stream("bundle", "GET", "/archive/bundle", 10, 2000, 5),
    Stream("search", "GET", "/archive/search", 10, 1000, 1),
]


@dataclass(frozen=True)
class AppliedVersion:
    """Describe an accepted version and the time until all daemons had activated it."""

    version: int
    seconds: float


class Demo:
    """Run the steps of the demo against a local mesh."""

    def __init__(self, mesh: LocalMesh) -> None:
        from flamingohead.control import ControlClient

        self._mesh = mesh
        self._create_client = ControlClient
        self._load = LoadGenerator([], STREAMS, seed=1)
        self._failures: list[str] = []

    async def run(self) -> int:
        """Run every step and return the exit code."""
        self._start_mesh()
        await self._wait_for_members(len(self._mesh.daemons))
        sheet = (EXAMPLES / "kente-mirror.csv").read_text()
        first = await self._apply(sheet)
        print(f"version {first.version} in force everywhere: {first.seconds:.2f} s")
        await self._wait_for_upstreams()
        killed_host = "osu-2"
        for host_id, daemon in self._mesh.daemons.items():
            if host_id != killed_host:
                self._load.addresses.append(daemon.addresses.ingress)
        load = asyncio.get_running_loop().create_task(self._load.run(LOAD_SECONDS))
        await asyncio.sleep(3)
        self._mesh.daemons.pop(killed_host).process.kill()
        print(f"killed daemon {killed_host}")
        await asyncio.sleep(1)
        changed = sheet.replace("lookup,,,,,,,,0,60", "lookup,,,,,,,,0,80")
        second = await self._apply(changed)
        print(f"version {second.version} in force everywhere: {second.seconds:.2f} s")
        await load
        await self._report()
        return 1 if self._failures else 0

    # Steps

    def _start_mesh(self) -> None:
        self._mesh.start_platform()
        for domain in DOMAINS:
            for number in range(DAEMONS_PER_DOMAIN):
                self._mesh.start_daemon(f"{domain}-{number}", domain)
        for host_id in self._mesh.daemons:
            service = SERVICES[int(host_id[-1])]
            self._mesh.start_upstream(f"{service}-{host_id}", service, host_id)
        self._mesh.wait_until_listening()

    async def _wait_for_members(self, expected: int) -> None:
        async def check() -> bool:
            body = (await self._fetch("makola-0", "/convergence")).body
            member_count = sum(len(domain["members"]) for domain in body["domains"])
            return member_count == expected

        await self._wait_until(check, "members")

    async def _wait_for_upstreams(self) -> None:
        async def check() -> bool:
            for host_id in self._mesh.daemons:
                members = (await self._fetch(host_id, "/status")).body["members"]
                ready = [
                    upstream
                    for member in members
                    for upstream in member["upstreams"]
                    if upstream["status"] == "ready"
                ]
                if len(ready) != DAEMONS_PER_DOMAIN:
                    return False
            return True

        await self._wait_until(check, "upstreams")

    async def _wait_until(self, check, subject: str) -> None:
        deadline = time.monotonic() + 20
        while time.monotonic() < deadline:
            if await check():
                return
            await asyncio.sleep(0.2)
        raise TimeoutError(f"timed out after 20 s waiting for all {subject}")

    async def _apply(self, sheet: str) -> AppliedVersion:
        problems = parse_sheet(sheet).problems
        assert not problems, problems
        base = (await self._fetch("makola-0", "/status")).body["version"]
        client = self._client("makola-0")
        body = {
            "change_id": f"demo-change-{base}",
            "author": "demo",
            "base_version": base,
            "sheet": sheet,
        }
        response = await client.post("/changes", body)
        if not response.is_ok:
            raise RuntimeError(f"change rejected: {response.body}")
        version = response.body["version"]
        started_at = time.monotonic()

        async def check() -> bool:
            versions = [
                (await self._fetch(host_id, "/status")).body["version"]
                for host_id in self._mesh.daemons
            ]
            return min(versions) >= version

        await self._wait_until(check, f"daemons at version {version}")
        return AppliedVersion(version, time.monotonic() - started_at)

    def _client(self, host_id: str):
        address = self._mesh.daemons[host_id].addresses.control
        return self._create_client(address, TOKEN)

    async def _fetch(self, host_id: str, path: str):
        return await self._client(host_id).get(path)

    # Report

    async def _report(self) -> None:
        self._print_calls()
        self._check_outcomes()
        journal = await collect_journal(self._mesh.upstreams.values())
        self._failures += check_load(self._load)
        self._failures += check_journal(self._load, journal)
        print(f"hand-overs sent {self._count_keys()}, run {len(journal)}")
        await self._print_control_bytes()
        for failure in self._failures:
            print("FAILED:", failure)
        if not self._failures:
            print("nothing was lost, cut or run twice")

    def _print_calls(self) -> None:
        header = ("rank", "sent", "answered", "in target", "p50 ms", "p99 ms")
        print(("{:<12}" + "{:>10}" * 5).format(*header))
        for name, result in self._load.results.items():
            row = (
                name,
                result.sent,
                result.answered,
                result.in_target,
                f"{result.get_latency_ms(50):.1f}",
                f"{result.get_latency_ms(99):.1f}",
            )
            print(("{:<12}" + "{:>10}" * 5).format(*row))
            for outcome, count in sorted(result.outcomes.items()):
                if outcome != "answered":
                    print(f"    {outcome}: {count}")

    def _count_keys(self) -> int:
        return len({attempt.key for attempt in self._load.keyed_attempts})

    def _check_outcomes(self) -> None:
        for name, result in self._load.results.items():
            for outcome in ("cut", "crossed"):
                if result.outcomes[outcome]:
                    self._failures.append(f"{name}: {outcome} responses")
            if result.answered < 0.9 * result.sent:
                self._failures.append(f"{name}: fewer than 90 % of requests answered")

    async def _print_control_bytes(self) -> None:
        sent = []
        for host_id in self._mesh.daemons:
            body = (await self._fetch(host_id, "/metrics")).body
            sent.append(body["counters"].get("datagram.sent_bytes", 0))
        print(f"control bytes sent by datagram, each daemon: {sent}")


def main() -> int:
    """Run the demo and return its exit code."""
    with tempfile.TemporaryDirectory() as directory:
        with LocalMesh(Path(directory)) as mesh:
            return run_until_stopped(lambda: Demo(mesh).run())


if __name__ == "__main__":
    sys.exit(main())
