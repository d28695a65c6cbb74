"""Tests of a whole mesh on the platform's protocol, in separate processes."""

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

WAIT_TIMEOUT = 20.0
ROUTES = {"/ledger/": "ledger", "/unsafe/": "ledger", "/archive/": "archive"}


def call(host, path, request_id, *, method="GET", body=None):
    headers = {
        "Host": HOST,
        "Request-Id": request_id,
        "Request-Deadline": "1000",
        "Caller-Service": "forged",
    }
    return send_request(host.ingress, method, path, body=body, headers=headers)


def wait_until(condition, *, timeout=WAIT_TIMEOUT):
    deadline = time.monotonic() + timeout
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
        assert call(first, "/ledger/1", "early")[0] == 503
        mesh.write_row("op", "config", build_document(2, ROUTES))
        for host in mesh.hosts.values():
            assert wait_until(lambda host=host: is_ready(host))
        for host in mesh.hosts.values():
            for path in ("/ledger/", "/archive/"):
                assert wait_until(
                    lambda host=host, path=path: call(host, path, "first")[0] == 200
                )
        yield mesh


class TestPath:
    def test_answer_of_the_upstream_comes_back_unchanged(self, mesh):
        status, headers, body = call(mesh.hosts["h0"], "/archive/x?y=1", "r-1")
        assert (status, body) == (200, b"answer to r-1")
        assert headers["request-id"] == "r-1"
        assert headers["response-stamp"] == "i-h2"
        assert not [name for name in headers if name.startswith("flamingohead")]

    def test_upstream_sees_the_request_and_its_origin(self, mesh):
        call(mesh.hosts["h1"], "/archive/seen", "r-2")
        run = next(run for run in read_runs(mesh.hosts["h2"]) if run["id"] == "r-2")
        assert run["path"] == "/archive/seen"
        assert run["host"] == HOST
        assert run["caller"] == "ledger"
        assert 0 < int(run["deadline"]) <= 1000

    def test_unknown_paths_and_hosts_are_not_found(self, mesh):
        assert call(mesh.hosts["h0"], "/nothing/", "r-3")[0] == 404
        assert call(mesh.hosts["h0"], "/ledger", "r-4")[0] == 404

    def test_path_of_key_scopes_is_an_ordinary_path(self, mesh):
        answer = call(mesh.hosts["h0"], "/.flamingohead/key-scope", "r-scope")
        assert answer[0] == 404

    def test_unsafe_request_runs_once(self, mesh):
        status, _, body = call(
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
                lambda host=host: call(host, "/added/", "r-6")[0] == 200, timeout=2.0
            )
        broken = build_document(6, {"/gone/": "ledger"}, clusters=[])
        mesh.write_row("op", "config", broken)
        mesh.write_row("op", "config", build_document(4, ROUTES))
        time.sleep(0.5)
        for host in mesh.hosts.values():
            assert call(host, "/added/", "r-7")[0] == 200
            assert call(host, "/gone/", "r-8")[0] == 404

    def test_restarted_daemon_is_configured_by_peers_while_the_store_refuses(
        self, mesh
    ):
        host = mesh.hosts["h1"]
        mesh.set_faults(refuse=503)
        try:
            host.daemon.kill()
            mesh.start_daemon(host)
            assert wait_until(lambda: is_ready(host))
            # Peers contact the daemon, which can't read their addresses from the store.
            served = wait_until(lambda: call(host, "/archive/", "r-9")[0] == 200)
            assert served
        finally:
            mesh.set_faults()

    def test_dropped_history_leads_to_a_full_read(self, mesh):
        mesh.set_faults(drop_history=True)
        routes = {**ROUTES, "/added/": "archive", "/later/": "ledger"}
        mesh.write_row("op", "config", build_document(9, routes))
        host = mesh.hosts["h0"]
        assert wait_until(lambda: call(host, "/later/", "r-10")[0] == 200, timeout=3)
        mesh.set_faults()


class TestOddHeartbeats:
    """Guard against one odd heartbeat that takes a sound upstream out of use."""

    def test_upstream_stays_in_use_after_odd_heartbeats(self, mesh):
        host = mesh.hosts["h0"]
        born = int(time.time() * 1000)
        sound = build_heartbeat(host, born=born)
        odd = [
            ("i-h0", {**sound, "seq": 2**80}),
            ("i-h0", {**sound, "born": 2**70}),
            ("i-h0", {**sound, "slots": 2**40}),
            ("i-h0", {**sound, "address": "127.0.0.1:99999"}),
            ("i-odd", {**sound, "address": "127.0.0.1:-1"}),
            ("i-odd", {**sound, "service": "unheard-of"}),
            ("i-odd", {**sound, "state": "resting"}),
        ]
        for name, beat in odd:
            assert send_announcement(host, "PUT", name, beat) == 400, beat
        before = len(read_runs(host))
        deadline = time.monotonic() + 3.0
        while time.monotonic() < deadline:
            assert call(mesh.hosts["h2"], "/ledger/odd", "r-odd")[0] == 200
        assert len(read_runs(host)) > before
        assert "Traceback" not in host.daemon.log_path.read_text()


class TestMetrics:
    def test_counters_and_histograms_are_served(self, mesh):
        host = mesh.hosts["h0"]
        call(host, "/archive/", "r-20")
        status, headers, body = send_request(host.metrics, "GET", "/metrics")
        text = body.decode()
        assert status == 200 and headers["content-type"].startswith("text/plain")
        assert 'flamingohead_events_total{name="store.rows-get"}' in text
        assert 'flamingohead_state{name="version"}' in text
        answered = 'outcome="answered",rank="1-500ms",service="archive"'
        assert f"flamingohead_request_seconds_count{{{answered}}}" in text

    def test_state_precedes_the_histograms_that_fill_a_page(self, mesh):
        # Collectors may keep no more than the beginning of a page.
        host = mesh.hosts["h0"]
        call(host, "/archive/", "r-21")
        text = send_request(host.metrics, "GET", "/metrics")[2].decode()
        assert text.index('{name="version"}') < text.index("request_seconds")

    def test_placement_is_explained_by_a_real_daemon(self, mesh):
        # The page needs services that only a complete daemon has.
        query = f"/placement?host={HOST}&path=/archive/1"
        status, _, body = send_request(mesh.hosts["h0"].metrics, "GET", query)
        explanation = json.loads(body)
        assert status == 200 and explanation["refusal"] is None
        (service,) = explanation["services"]
        assert [c["host"] for c in service["candidates"]] == ["h2"]


class TestSettings:
    def test_reload_applies_the_service_and_ignores_a_broken_file(self, mesh):
        host = mesh.hosts["h0"]
        text = host.settings_path.read_text()
        host.settings_path.write_text("node: [")
        host.daemon.popen.send_signal(1)
        time.sleep(0.3)
        assert is_ready(host)
        host.settings_path.write_text(text.replace("service: ledger", "service: other"))

        def is_renamed():
            call(host, "/archive/", "r-11")
            runs = read_runs(mesh.hosts["h2"])
            return [r["caller"] for r in runs if r["id"] == "r-11"][-1] == "other"

        assert wait_until(is_renamed, timeout=5)
        host.settings_path.write_text(text)
        assert '"event": 105' in host.daemon.log_path.read_text()

    def test_invalid_platform_address_is_named(self, tmp_path, mesh):
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
        was_signalled_early = False
        while not was_signalled_early and not is_listening(host.ready):
            if host.daemon.handles_signal(signal.SIGHUP) and not is_listening(
                host.ready
            ):
                host.daemon.popen.send_signal(signal.SIGHUP)
                was_signalled_early = True
        assert was_signalled_early, "SIGHUP was not handled before the daemon listened"
        assert wait_until(lambda: is_ready(host))
        assert host.daemon.popen.poll() is None


class TestStops:
    def test_stopped_daemon_cuts_no_requests_and_its_upstream_gets_none(self, mesh):
        host = mesh.hosts["h1"]
        host.daemon.terminate()
        answers = []
        deadline = time.monotonic() + 1.5
        while time.monotonic() < deadline:
            answers.append(call(host, "/archive/", "r-12")[0])
            answers.append(call(mesh.hosts["h0"], "/ledger/", "r-13")[0])
        assert set(answers) == {200}
        assert host.daemon.wait() == 0
        mesh.start_daemon(host)
        assert wait_until(lambda: is_ready(host))

    def test_drained_upstream_gets_no_new_work(self, mesh):
        def is_back():
            call(mesh.hosts["h2"], "/ledger/", "r-back")
            call(mesh.hosts["h0"], "/ledger/", "r-back")
            return [r["id"] for r in read_runs(mesh.hosts["h1"])].count("r-back") > 1

        assert wait_until(is_back)
        host = mesh.hosts["h0"]
        host.instance.terminate()
        host.instance.wait()
        statuses = {
            call(mesh.hosts[name], "/ledger/", "r-14")[0]
            for name in ("h0", "h1", "h2")
            for _ in range(10)
        }
        assert statuses == {200}

    def test_leave_survives_a_restart_of_the_daemon(self, mesh):
        host = mesh.hosts["h1"]
        name = "i-leaving"
        born = int(time.time() * 1000) + 60_000
        beat = build_heartbeat(host, born=born)

        assert send_announcement(host, "PUT", name, beat) == 200
        assert send_announcement(host, "DELETE", name, {}) == 200
        host.daemon.kill()
        mesh.start_daemon(host)
        assert wait_until(lambda: is_ready(host))
        # A late message of the same start does not restore the upstream.
        late = build_heartbeat(host, born=born, sequence=2)
        assert send_announcement(host, "PUT", name, late) == 200
        ready = f'"upstream": "{name}", "service": "ledger", "status": "READY"'
        assert host.daemon.log_path.read_text().count(ready) == 1
