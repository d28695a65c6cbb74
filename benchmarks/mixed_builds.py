"""Compatibility checks with an older build: ``python -m benchmarks.mixed_builds``.

Run by hand with the path of a checkout of the older build. Daemons of both builds form
one group and use settings, rows, snapshots and logs written by the older build.
"""

from __future__ import annotations

import http.client
import json
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import TYPE_CHECKING

import click

from flamingohead.testing.hosts import (
    HOST,
    HostMesh,
    build_document,
    build_heartbeat,
    send_announcement,
    send_request,
)
from flamingohead.testing.processes import ROOT, TOKEN, LocalMesh, start_python

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingohead.testing.hosts import Host
    from flamingohead.testing.processes import Process

WAIT_SECONDS = 30.0
SLOW_SERVICE_MS = 1500.0
SHEET = ROOT / "examples" / "kente-mirror.csv"
CHANGED_RANK = ("lookup,,,,,,,,0,60", "lookup,,,,,,,,0,{target_ms}")
KEYED_PATH = "/ledger/hand-over"
LEDGER_PATH = "/ledger/lookup"
ARCHIVE_PATH = "/archive/index"
ROUTES = {"/ledger/": "ledger", "/unsafe/": "ledger", "/archive/": "archive"}


class Builds:
    """Start processes from the older or the current build, selected by process name."""

    def __init__(self, older: Path) -> None:
        self._older = older
        self.older_names: set[str] = set()

    def start(self, name: str, arguments: list[str], directory: Path, **variables):
        if name in self.older_names:
            variables.update(self.get_variables(older=True))
        return start_python(name, arguments, directory, **variables)

    def run(self, older: bool, *arguments: str) -> subprocess.CompletedProcess:
        """Run an operator command of one build."""
        tree = self._older if older else ROOT
        return subprocess.run(
            [sys.executable, "-m", "flamingohead", *arguments],
            cwd=tree,
            env={"PYTHONPATH": str(tree), "LANG": "C.UTF-8", "HOME": "/nonexistent"},
            capture_output=True,
            text=True,
            timeout=60,
        )

    def get_variables(self, *, older: bool) -> dict[str, str]:
        """Return environment variables that restrict imports to one build."""
        tree = self._older if older else ROOT
        return {"PYTHONPATH": str(tree), "PYTHONSAFEPATH": "1"}


class MixedLocalMesh(LocalMesh):
    """Run a sheet-configured mesh with daemons of two builds."""

    def __init__(self, directory: Path, builds: Builds) -> None:
        super().__init__(directory)
        self.builds = builds

    def _start(self, name: str, arguments: list[str]) -> Process:
        process = self.builds.start(name, arguments, self.directory)
        self.processes.append(process)
        return process

    def call(self, host_id: str, method: str, path: str, **headers: str):
        """Send one request to the daemon of a host."""
        address = self.daemons[host_id].addresses.ingress
        connection = http.client.HTTPConnection(address, timeout=10)
        fields = {name.replace("_", "-"): value for name, value in headers.items()}
        connection.request(method, path, headers=fields)
        response = connection.getresponse()
        answer = (response.status, response.getheader("flamingohead-refusal"))
        body = response.read()
        connection.close()
        return *answer, body

    def count_runs(self, key: str) -> int:
        """Return how many times upstreams have executed a key."""
        count = 0
        for upstream in self.upstreams.values():
            body = send_request(upstream.address, "GET", "/standin/journal")[2]
            count += sum(e["key"] == key for e in json.loads(body)["entries"])
        return count

    def apply(self, host_id: str, target_ms: int, *, older: bool) -> str:
        """Apply a changed sheet with the command of one build; return its output."""
        sheet = self.directory / f"sheet-{target_ms}.csv"
        before, after = CHANGED_RANK
        text = SHEET.read_text()
        sheet.write_text(text.replace(before, after.format(target_ms=target_ms)))
        control = self.daemons[host_id].addresses.control
        options = ["--control-address", control, "--control-token", TOKEN]
        result = self.builds.run(older, "apply", str(sheet), "--wait", *options)
        check(result.returncode == 0, result.stdout + result.stderr)
        return " ".join(result.stdout.split())

    def read_status(self, host_id: str, *, older: bool) -> dict:
        """Return the status printed by the command of one build."""
        control = self.daemons[host_id].addresses.control
        options = ["--control-address", control, "--control-token", TOKEN]
        result = self.builds.run(older, "status", "--json", *options)
        return json.loads(result.stdout) if result.stdout else {}

    def replace_daemon(self, host_id: str, *, older: bool, kill: bool = False) -> None:
        """Stop a daemon and start one of the given build at the same addresses."""
        process = self.daemons[host_id].process
        if kill:
            process.kill()
        else:
            process.terminate()
            check(process.wait() == 0, f"{host_id} did not shut down cleanly")
        if older:
            self.builds.older_names.add(host_id)
        else:
            self.builds.older_names.discard(host_id)
        self.restart_daemon(host_id)
        self.wait_until_listening()


class MixedHostMesh(HostMesh):
    """Run a mesh on the platform's protocol with daemons of two builds."""

    def __init__(self, directory: Path, builds: Builds) -> None:
        super().__init__(directory)
        self._builds = builds

    def start_process(
        self, name: str, arguments: list[str], **variables: str
    ) -> Process:
        process = self._builds.start(name, arguments, self.directory, **variables)
        self._processes.append(process)
        return process


def check(condition: object, detail: str) -> None:
    """Raise ``RuntimeError`` with ``detail`` if ``condition`` is false."""
    if not condition:
        raise RuntimeError(detail)


def print_passed(text: str) -> None:
    print(f"ok: {text}", flush=True)


def wait_until(condition: Callable[[], object], detail: str) -> float:
    """Poll a condition until it is met; return the seconds that it took."""
    started_at = time.monotonic()
    while True:
        try:
            if condition():
                return time.monotonic() - started_at
        except (OSError, http.client.HTTPException):
            pass
        elapsed = time.monotonic() - started_at
        check(elapsed < WAIT_SECONDS, f"{detail}: timed out after {WAIT_SECONDS:.0f} s")
        time.sleep(0.05)


def check_sheet_mesh(builds: Builds, directory: Path) -> None:
    """Check mixed builds in a mesh whose configuration is applied as sheets."""
    hosts = [f"osu-{number}" for number in range(4)]
    builds.older_names.update(hosts)
    with MixedLocalMesh(directory, builds) as mesh:
        mesh.start_platform()
        for host_id in hosts:
            mesh.start_daemon(host_id, "osu")
        mesh.start_upstream("ledger-0", "stall-ledger", "osu-0")
        mesh.start_upstream("ledger-3", "stall-ledger", "osu-3")
        mesh.start_upstream("archive-3", "pattern-archive", "osu-3")
        mesh.wait_until_listening()
        mesh.apply("osu-0", 60, older=True)
        for host_id in hosts:
            wait_until(
                lambda: mesh.call(host_id, "GET", LEDGER_PATH)[0] == 200,
                f"{host_id} serves",
            )
        # The daemon that executes a claim owns it; here all run the old build.
        claimed = mesh.call("osu-2", "POST", KEYED_PATH, Idempotency_Key="claimed")
        check(claimed[0] == 200, f"claim by the older build: {claimed}")

        for host_id in ("osu-0", "osu-1"):
            mesh.replace_daemon(host_id, older=False)
        for host_id in hosts:
            wait_until(
                lambda: _count_alive(mesh, host_id, older=host_id > "osu-1") == 4,
                f"{host_id} sees four hosts",
            )
        print_passed("osu-0, osu-1 (new) and osu-2, osu-3 (old) are one group of four")
        wait_until(
            lambda: mesh.call("osu-2", "GET", LEDGER_PATH)[0] == 200,
            "old daemon serves",
        )
        wait_until(
            lambda: mesh.call("osu-1", "GET", ARCHIVE_PATH)[0] == 200,
            "new daemon serves",
        )
        print_passed("a call crosses from the new build to the old (osu-1 to osu-3)")
        _call_upstream_of(mesh, "osu-2", "ledger-0")
        print_passed("a call crosses from the old build to the new (osu-2 to osu-0)")

        for host_id, older, target_ms in (
            ("osu-0", False, 70),
            ("osu-3", True, 80),
            ("osu-2", False, 90),
            ("osu-1", True, 100),
        ):
            output = mesh.apply(host_id, target_ms, older=older)
            build = "old" if older else "new"
            print_passed(f"applied by the {build} command at {host_id}: {output}")
        digests = {
            mesh.read_status(host_id, older=host_id > "osu-1")["daemon"]["digest"]
            for host_id in hosts
        }
        check(len(digests) == 1, f"digests differ: {digests}")
        print_passed("all four have the latest version with the same digest")

        for host_id in hosts:
            repeated = mesh.call(host_id, "POST", KEYED_PATH, Idempotency_Key="claimed")
            check(repeated == claimed, f"{host_id}: {repeated}, expected {claimed}")
        check(mesh.count_runs("claimed") == 1, "claimed key ran more than once")
        print_passed("a key claimed by the old build: same answer from all, ran once")
        _race_keys(mesh, hosts)

        for host_id in hosts:
            mesh.replace_daemon(host_id, older=False, kill=True)
        for host_id in hosts:
            wait_until(
                lambda: _count_alive(mesh, host_id, older=False) == 4
                and mesh.read_status(host_id, older=False)["version"] == 5,
                f"{host_id} reads version 5 again",
            )
        print_passed("four new daemons, all killed before, read the stored version 5")
        final = mesh.call("osu-1", "POST", KEYED_PATH, Idempotency_Key="claimed")
        check(mesh.count_runs("claimed") == 1, "claimed key ran again")
        print_passed(
            f"the claim outlives its daemons: {final[0]} {final[1]}, not run again"
        )


def _count_alive(mesh: MixedLocalMesh, host_id: str, *, older: bool) -> int:
    status = mesh.read_status(host_id, older=older)
    members = status.get("daemon", {}).get("members", [])
    return sum(member["status"] == "alive" for member in members)


def _call_upstream_of(mesh: MixedLocalMesh, host_id: str, upstream: str) -> None:
    """Send keyed calls until a given upstream has executed one."""
    for number in range(40):
        key = f"to-{upstream}-{number}"
        answer = mesh.call(host_id, "POST", KEYED_PATH, Idempotency_Key=key)
        check(answer[0] == 200, f"{key}: {answer}")
        address = mesh.upstreams[upstream].address
        body = send_request(address, "GET", "/standin/journal")[2]
        if any(entry["key"] == key for entry in json.loads(body)["entries"]):
            return
    raise RuntimeError(f"none of 40 calls from {host_id} reached {upstream}")


def _race_keys(mesh: MixedLocalMesh, hosts: list[str]) -> None:
    """Send duplicates of a running keyed request through daemons of both builds."""
    for upstream in mesh.upstreams.values():
        settings = json.dumps({"service_ms": SLOW_SERVICE_MS}).encode()
        send_request(upstream.address, "PUT", "/standin/settings", body=settings)
    for owner in ("osu-3", "osu-0"):
        key = f"racing-{owner}"
        with ThreadPoolExecutor(len(hosts)) as pool:
            first = pool.submit(
                mesh.call, owner, "POST", KEYED_PATH, Idempotency_Key=key
            )
            wait_until(lambda: mesh.count_runs(key), "first request runs")
            duplicates = [
                pool.submit(mesh.call, host_id, "POST", KEYED_PATH, Idempotency_Key=key)
                for host_id in hosts
                if host_id != owner
            ]
            answers = {future.result() for future in (first, *duplicates)}
        check(len(answers) == 1, f"{key}: answers {answers}")
        check(mesh.count_runs(key) == 1, f"{key} ran more than once")
        print_passed(
            f"a key claimed through {owner}, duplicated at all while it runs: ran once"
        )


def check_platform_mesh(builds: Builds, directory: Path) -> None:
    """Check mixed builds in a mesh on the platform's protocol."""
    builds.older_names.update({"daemon-h0", "daemon-h1", "daemon-h2"})
    with MixedHostMesh(directory, builds) as mesh:
        hosts = [mesh.add_host(f"h{number}", "ledger") for number in range(2)]
        hosts.append(mesh.add_host("h2", "archive"))
        mesh.write_row("op", "config", build_document(2, ROUTES))
        _wait_until_served(hosts)
        departing = hosts[1]
        born = int(time.time() * 1000) + 60_000
        heartbeat = build_heartbeat(departing, born=born)
        check(
            send_announcement(departing, "PUT", "i-leaving", heartbeat) == 200,
            "heartbeat refused",
        )
        check(
            send_announcement(departing, "DELETE", "i-leaving", {}) == 200,
            "departure refused",
        )

        builds.older_names -= {"daemon-h1"}
        departing.daemon.kill()
        mesh.start_daemon(departing)
        _wait_until_served(hosts)
        print_passed(
            "h1 (new) joins h0, h2 (old) on the settings and rows of the old build"
        )
        late_heartbeat = build_heartbeat(departing, born=born, sequence=2)
        check(
            send_announcement(departing, "PUT", "i-leaving", late_heartbeat) == 200,
            "late heartbeat refused",
        )
        log = departing.daemon.log_path.read_text()
        ready = '"upstream": "i-leaving", "service": "ledger", "status": "READY"'
        check(log.count(ready) == 1, "the stored departure was lost")
        print_passed("the new build applies the departure that the old build stored")

        # Each called service has upstreams on daemons of the other build.
        _call(hosts[1], "/archive/y", "new-to-old")
        print_passed("a call crosses from the new build to the old (h1 to h2)")
        count = 0
        while not _has_run(hosts[1], "old-to-new"):
            count += 1
            check(count <= 40, "no call of h2 reached h1")
            _call(hosts[2], "/ledger/y", f"old-to-new-{count}")
        print_passed("a call crosses from the old build to the new (h2 to h1)")
        for number in range(10):
            for host in hosts:
                _call(host, "/unsafe/z", f"once-{host.name}-{number}", "POST")
        runs = [
            run["id"]
            for host in hosts[:2]
            for run in _read_runs(host)
            if run["id"].startswith("once-")
        ]
        check(len(runs) == len(set(runs)) == 30, f"unsafe requests ran: {runs}")
        print_passed("30 unsafe requests through both builds ran once each")

        mesh.write_row("op", "config", build_document(5, {**ROUTES, "/n/": "archive"}))
        seconds = wait_until(
            lambda: all(_is_served(host, "/n/") for host in hosts), "change in force"
        )
        print_passed(f"a change is in force on all three after {seconds:.2f} s")
        for host in hosts[:2]:
            headers = {"Host": HOST, "Request-Id": "not-routed"}
            status = send_request(host.ingress, "GET", "/no/", headers=headers)[0]
            check(status == 404, f"unknown path through {host.name}: {status}")
        logs = [str(host.daemon.log_path) for host in hosts]
        for older in (False, True):
            _check_explain(builds, older, logs)


def _check_explain(builds: Builds, older: bool, logs: list[str]) -> None:
    """Check that the explain command of one build reads the logs of both."""
    build = "old" if older else "new"
    result = builds.run(older, "explain", "not-routed", *logs)
    check(result.returncode == 0, f"explain of the {build} build: {result.stderr}")
    hosts = [line.split()[1] for line in result.stdout.splitlines() if "E523" in line]
    check(sorted(hosts) == ["h0", "h1"], f"explain: {result.stdout}")
    print_passed(f"explain of the {build} build finds a request in the logs of both")


def _call(host: Host, path: str, request_id: str, method: str = "GET") -> None:
    headers = {"Host": HOST, "Request-Id": request_id, "Request-Deadline": "5000"}
    status, _, body = send_request(host.ingress, method, path, headers=headers)
    check(status == 200, f"{request_id} through {host.name}: {status} {body[:200]}")


def _is_served(host: Host, path: str) -> bool:
    headers = {"Host": HOST, "Request-Id": "probe", "Request-Deadline": "1000"}
    return send_request(host.ingress, "GET", path, headers=headers)[0] == 200


def _wait_until_served(hosts: list[Host]) -> None:
    for host in hosts:
        for path in ("/ledger/", "/archive/"):
            wait_until(lambda: _is_served(host, path), f"{host.name} serves {path}")


def _read_runs(host: Host) -> list[dict]:
    return json.loads(send_request(host.upstream, "GET", "/standin/runs")[2])


def _has_run(host: Host, prefix: str) -> bool:
    return any(run["id"].startswith(prefix) for run in _read_runs(host))


@click.command()
@click.argument("older", type=click.Path(exists=True, file_okay=False))
def main(older: str) -> None:
    """Run the checks against the checkout OLDER; exit with 0 if all pass."""
    for run in (check_sheet_mesh, check_platform_mesh):
        with tempfile.TemporaryDirectory() as directory:
            run(Builds(Path(older).resolve()), Path(directory))


if __name__ == "__main__":
    main()
