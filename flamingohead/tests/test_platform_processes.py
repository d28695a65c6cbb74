"""The whole path on the platform's protocol, in separate processes."""

from __future__ import annotations

import json
import signal
import socket
import time

import pytest

from flamingohead.addresses import split_address
from flamingohead.testing.hosts import (
    HOST,
    HostMesh,
    build_document,
    build_heartbeat,
    build_settings,
    send_announcement,
    send_request,
)

PATIENCE = 20.0
ROUTES = {"/ledger/": "ledger", "/unsafe/": "ledger", "/archive/": "archive"}


def ask(host, path, request_id, *, method="GET", body=None):
    headers = {
        "Host": HOST,
        "Request-Id": request_id,
        "Request-Deadline": "1000",
        "Caller-Service": "forged",
    }
    return send_request(host.ingress, method, path, body=body, headers=headers)


def wait_until(condition, *, patience=PATIENCE):
    deadline = time.monotonic() + patience
    while time.monotonic() < deadline:
        try:
            if condition():
                return True
        except OSError:
            pass
        time.sleep(0.05)
    return False


def is_ready(host):
    return send_request(host.ready, "GET", "/v1/ready")[0] == 200


def is_listening(address):
    try:
        socket.create_connection(split_address(address), timeout=1.0).close()
    except OSError:
        return False
    return True


def read_runs(host):
    return json.loads(send_request(host.upstream, "GET", "/standin/runs")[2])


@pytest.fixture(scope="module")
def mesh(tmp_path_factory):
    with HostMesh(tmp_path_factory.mktemp("hosts")) as mesh:
        for number in range(3):
            mesh.add_host(f"h{number}", "archive" if number == 2 else "ledger")
        first = mesh.hosts["h0"]
        assert wait_until(lambda: send_request(first.ready, "GET", "/v1/ready"))
        # Without a configuration a request is refused as not run, not as unknown.
        assert not is_ready(first)
        assert ask(first, "/ledger/1", "early")[0] == 503
        mesh.write_row("op", "config", build_document(2, ROUTES))
        for host in mesh.hosts.values():
            assert wait_until(lambda host=host: is_ready(host))
        for host in mesh.hosts.values():
            for path in ("/ledger/", "/archive/"):
                assert wait_until(
                    lambda host=host, path=path: ask(host, path, "first")[0] == 200
                )
        yield mesh


class TestPath:
    def test_answer_of_the_upstream_comes_back_unchanged(self, mesh):
        status, headers, body = ask(mesh.hosts["h0"], "/archive/x?y=1", "r-1")
        assert (status, body) == (200, b"answer to r-1")
        assert headers["request-id"] == "r-1"
        assert headers["response-stamp"] == "i-h2"
        assert not [name for name in headers if name.startswith("flamingohead")]

    def test_upstream_sees_the_request_and_its_origin(self, mesh):
        ask(mesh.hosts["h1"], "/archive/seen", "r-2")
        run = next(run for run in read_runs(mesh.hosts["h2"]) if run["id"] == "r-2")
        assert run["path"] == "/archive/seen"
        assert run["host"] == HOST
        assert run["caller"] == "ledger"
        assert 0 < int(run["deadline"]) <= 1000

    def test_unknown_paths_and_hosts_are_not_found(self, mesh):
        assert ask(mesh.hosts["h0"], "/nothing/", "r-3")[0] == 404
        assert ask(mesh.hosts["h0"], "/ledger", "r-4")[0] == 404

    def test_path_of_key_scopes_is_an_ordinary_path(self, mesh):
        answer = ask(mesh.hosts["h0"], "/.flamingohead/key-scope", "r-scope")
        assert answer[0] == 404

    def test_unsafe_request_runs_once(self, mesh):
        status, _, body = ask(
            mesh.hosts["h2"], "/unsafe/x", "r-5", method="POST", body=b"!"
        )
        assert (status, body) == (200, b"answer to r-5!")
        runs = [r for h in ("h0", "h1") for r in read_runs(mesh.hosts[h])]
        assert [r["id"] for r in runs].count("r-5") == 1


class TestConfiguration:
    def test_change_is_in_force_everywhere_and_an_invalid_one_nowhere(self, mesh):
        routes = {**ROUTES, "/added/": "archive"}
        mesh.write_row("op", "config", build_document(5, routes))
        for host in mesh.hosts.values():
            assert wait_until(
                lambda host=host: ask(host, "/added/", "r-6")[0] == 200, patience=2.0
            )
        broken = build_document(6, {"/gone/": "ledger"}, clusters=[])
        mesh.write_row("op", "config", broken)
        mesh.write_row("op", "config", build_document(4, ROUTES))
        time.sleep(0.5)
        for host in mesh.hosts.values():
            assert ask(host, "/added/", "r-7")[0] == 200
            assert ask(host, "/gone/", "r-8")[0] == 404

    def test_restarted_daemon_learns_from_peers_while_the_store_refuses(self, mesh):
        host = mesh.hosts["h1"]
        mesh.set_faults(refuse=503)
        try:
            host.daemon.kill()
            mesh.start_daemon(host)
            assert wait_until(lambda: is_ready(host))
            # Its peers find it, since it can't read where they are.
            served = wait_until(lambda: ask(host, "/archive/", "r-9")[0] == 200)
            assert served
        finally:
            mesh.set_faults()

    def test_dropped_history_leads_to_a_whole_read(self, mesh):
        mesh.set_faults(drop_history=True)
        routes = {**ROUTES, "/added/": "archive", "/later/": "ledger"}
        mesh.write_row("op", "config", build_document(9, routes))
        host = mesh.hosts["h0"]
        assert wait_until(lambda: ask(host, "/later/", "r-10")[0] == 200, patience=3)
        mesh.set_faults()


class TestMetrics:
    def test_counters_and_histograms_are_served(self, mesh):
        host = mesh.hosts["h0"]
        ask(host, "/archive/", "r-20")
        status, headers, body = send_request(host.metrics, "GET", "/metrics")
        text = body.decode()
        assert status == 200 and headers["content-type"].startswith("text/plain")
        assert 'flamingohead_events_total{name="store.rows-get"}' in text
        assert 'flamingohead_state{name="version"}' in text
        answered = 'outcome="answered",rank="1-500ms",service="archive"'
        assert f"flamingohead_request_seconds_count{{{answered}}}" in text


class TestSettings:
    def test_reload_takes_the_service_and_survives_a_broken_file(self, mesh):
        host = mesh.hosts["h0"]
        text = host.settings_path.read_text()
        host.settings_path.write_text("node: [")
        host.daemon.popen.send_signal(1)
        time.sleep(0.3)
        assert is_ready(host)
        host.settings_path.write_text(text.replace("service: ledger", "service: other"))

        def is_renamed():
            ask(host, "/archive/", "r-11")
            runs = read_runs(mesh.hosts["h2"])
            return [r["caller"] for r in runs if r["id"] == "r-11"][-1] == "other"

        assert wait_until(is_renamed, patience=5)
        host.settings_path.write_text(text)
        assert '"event": 105' in host.daemon.log_path.read_text()

    def test_settings_that_lack_an_address_are_named(self, tmp_path, mesh):
        host = mesh.hosts["h0"]
        path = tmp_path / "boot.yaml"
        path.write_text(build_settings(host, "nowhere", 1))
        process = mesh.start_process(
            "broken", ["-m", "flamingohead.platform"], FLAMINGOHEAD_SETTINGS=str(path)
        )
        assert process.wait() == 2
        assert "platform.address" in process.log_path.read_text()


class TestStart:
    def test_reload_during_the_start_does_not_end_it(self, mesh):
        host = mesh.hosts["h1"]
        host.daemon.kill()
        mesh.start_daemon(host)
        was_told_early = False
        while not was_told_early and not is_listening(host.ready):
            if host.daemon.handles_signal(signal.SIGHUP) and not is_listening(
                host.ready
            ):
                host.daemon.popen.send_signal(signal.SIGHUP)
                was_told_early = True
        assert was_told_early, "only handled once the daemon was listening"
        assert wait_until(lambda: is_ready(host))
        assert host.daemon.popen.poll() is None


class TestStops:
    def test_stopped_daemon_cuts_nothing_and_its_leaving_upstream_gets_no_work(
        self, mesh
    ):
        host = mesh.hosts["h1"]
        host.daemon.terminate()
        answers = []
        until = time.monotonic() + 1.5
        while time.monotonic() < until:
            answers.append(ask(host, "/archive/", "r-12")[0])
            answers.append(ask(mesh.hosts["h0"], "/ledger/", "r-13")[0])
        assert set(answers) == {200}
        assert host.daemon.wait() == 0
        mesh.start_daemon(host)
        assert wait_until(lambda: is_ready(host))

    def test_drained_upstream_gets_no_new_work(self, mesh):
        def is_back():
            ask(mesh.hosts["h2"], "/ledger/", "r-back")
            ask(mesh.hosts["h0"], "/ledger/", "r-back")
            return [r["id"] for r in read_runs(mesh.hosts["h1"])].count("r-back") > 1

        assert wait_until(is_back)
        host = mesh.hosts["h0"]
        host.instance.terminate()
        host.instance.wait()
        statuses = {
            ask(mesh.hosts[name], "/ledger/", "r-14")[0]
            for name in ("h0", "h1", "h2")
            for _ in range(10)
        }
        assert statuses == {200}

    def test_leave_binds_through_a_restart_of_the_daemon(self, mesh):
        host = mesh.hosts["h1"]
        name = "i-leaving"
        born = int(time.time() * 1000) + 60_000
        beat = build_heartbeat(host, born=born)

        assert send_announcement(host, "PUT", name, beat) == 200
        assert send_announcement(host, "DELETE", name, {}) == 200
        host.daemon.kill()
        mesh.start_daemon(host)
        assert wait_until(lambda: is_ready(host))
        # A late message of the same start does not bring it back.
        late = build_heartbeat(host, born=born, sequence=2)
        assert send_announcement(host, "PUT", name, late) == 200
        ready = f'"upstream": "{name}", "service": "ledger", "status": "READY"'
        assert host.daemon.log_path.read_text().count(ready) == 1
