"""Process tests of the request path: streaming, disconnects, planned stops."""

from __future__ import annotations

import asyncio
import http.client
import json
import socket
import subprocess
import sys
import time

import psutil
import pytest

from benchmarks.load import LoadGenerator, Stream
from flamingohead.addresses import split_address
from flamingohead.services.reactor import install_reactor
from flamingohead.testing.processes import ROOT, TOKEN, LocalMesh

SHEET = ROOT / "examples" / "kente-mirror.csv"
WAIT_SECONDS = 30.0
BUNDLE = "/archive/bundle"
LOOKUP = "/ledger/lookup"
LARGE_BYTES = 200 * 2**20
MEMORY_LIMIT_BYTES = 128 * 2**20
READ_BYTES = 2**20


def send(address, method, path, body=None, headers=None):
    connection = http.client.HTTPConnection(address, timeout=10)
    connection.request(method, path, body=body, headers=headers or {})
    response = connection.getresponse()
    content = response.read()
    connection.close()
    return response.status, content


def wait_for(check, what):
    deadline = time.monotonic() + WAIT_SECONDS
    while not check():
        assert time.monotonic() < deadline, f"timed out waiting for {what}"
        time.sleep(0.05)


def change_upstream(upstream, **settings):
    body = json.dumps(settings)
    assert send(upstream.address, "PUT", "/standin/settings", body)[0] == 200


def read_counters(upstream):
    return json.loads(send(upstream.address, "GET", "/standin/journal")[1])["counters"]


def read_metrics(daemon):
    headers = {"Authorization": f"Bearer {TOKEN}"}
    status, content = send(
        daemon.addresses.control, "GET", "/v1/metrics", headers=headers
    )
    assert status == 200, content
    return content.decode()


@pytest.fixture(scope="module")
def mesh(tmp_path_factory):
    with LocalMesh(tmp_path_factory.mktemp("hop")) as mesh:
        mesh.start_platform()
        for number in range(3):
            mesh.start_daemon(f"makola-{number}", "makola")
        for number in (1, 2):
            mesh.start_upstream(f"ledger-{number}", "stall-ledger", f"makola-{number}")
        mesh.start_upstream("archive", "pattern-archive", "makola-1")
        mesh.wait_until_listening()
        control = mesh.daemons["makola-0"].addresses.control
        command = [sys.executable, "-m", "flamingohead", "apply", str(SHEET), "--wait"]
        command += ["--control-address", control, "--control-token", TOKEN]
        subprocess.run(command, cwd=ROOT, check=True, capture_output=True, timeout=60)
        for daemon in mesh.daemons.values():
            address = daemon.addresses.ingress
            for path in (LOOKUP, BUNDLE):
                wait_for(lambda: send(address, "GET", path)[0] == 200, path)
        yield mesh


class TestStreaming:
    def test_large_response_to_a_slow_caller_keeps_memory_bounded(self, mesh):
        upstream = mesh.upstreams["archive"]
        change_upstream(upstream, answer_bytes=LARGE_BYTES)
        daemons = [mesh.daemons[name] for name in ("makola-0", "makola-1")]
        processes = [psutil.Process(d.process.popen.pid) for d in daemons]
        address = daemons[0].addresses.ingress
        connection = http.client.HTTPConnection(address, timeout=30)
        connection.request("GET", BUNDLE, headers={"Request-Id": "large"})
        response = connection.getresponse()
        size = len(response.read(READ_BYTES))
        time.sleep(0.5)
        largest = 0
        while data := response.read(8 * READ_BYTES):
            size += len(data)
            largest = max(largest, *(p.memory_info().rss for p in processes))
        connection.close()
        change_upstream(upstream, answer_bytes=64)
        assert size == LARGE_BYTES
        assert largest < MEMORY_LIMIT_BYTES


class TestRefusals:
    def test_caller_that_is_still_sending_gets_the_refusal(self, mesh):
        address = mesh.daemons["makola-0"].addresses.ingress
        status, content = send(address, "POST", "/archive/search", b"x" * 2**25)
        assert status == 413, content


class TestDisconnects:
    @pytest.mark.parametrize("entry", ["makola-0", "makola-1"])
    def test_disconnect_of_the_caller_reaches_the_upstream(self, mesh, entry):
        upstream = mesh.upstreams["archive"]
        change_upstream(upstream, service_ms=5000)
        before = read_counters(upstream)
        host, port = split_address(mesh.daemons[entry].addresses.ingress)
        with socket.create_connection((host, port)) as caller:
            caller.sendall(b"GET /archive/bundle HTTP/1.1\r\nhost: a\r\n\r\n")
            wait_for(
                lambda: read_counters(upstream)["executed"] > before["executed"],
                "the request at the upstream",
            )
        wait_for(
            lambda: read_counters(upstream)["cancelled"] > before["cancelled"],
            "the cancellation at the upstream",
        )
        change_upstream(upstream, service_ms=5)


class TestChanges:
    def test_changes_under_load_abort_no_request(self, mesh):
        sheet = SHEET.read_text()
        entry = mesh.daemons["makola-0"].addresses
        addresses = [d.addresses.ingress for d in mesh.daemons.values()]
        load = LoadGenerator(
            addresses, [Stream("lookup", "GET", LOOKUP, 150, 1000)], seed=2
        )

        def change(number):
            headers = {"Authorization": f"Bearer {TOKEN}"}
            status = send(entry.control, "GET", "/v1/status", headers=headers)[1]
            body = {
                "change_id": f"under-load-{number}",
                "author": "test",
                "base_version": json.loads(status)["version"],
                "sheet": sheet.replace(",1000,yes", f",{1001 + number},yes"),
            }
            content = json.dumps(body)
            return send(entry.control, "POST", "/v1/changes", content, headers)

        async def run():
            running = asyncio.get_running_loop().create_task(load.run(3.0))
            for number in range(4):
                await asyncio.sleep(0.5)
                status, answer = await asyncio.to_thread(change, number)
                assert status == 200, answer
            await running

        install_reactor().run_until_complete(run())
        result = load.results["lookup"]
        assert dict(result.outcomes) == {"answered": result.sent}


class TestPlannedStop:
    def test_stop_of_a_daemon_under_load_aborts_no_request(self, mesh):
        stopping = mesh.daemons["makola-2"]
        addresses = [d.addresses.ingress for d in mesh.daemons.values()]
        streams = [
            Stream("lookup", "GET", LOOKUP, 80, 1000),
            Stream("hand-over", "POST", "/ledger/hand-over", 20, 1000, keyed=True),
        ]
        load = LoadGenerator(addresses, streams, seed=1)

        async def run():
            running = asyncio.get_running_loop().create_task(load.run(4.0))
            host, port = split_address(stopping.addresses.ingress)
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(b"GET /ledger/lookup HTTP/1.1\r\n")
            await asyncio.sleep(1.0)
            stopping.process.terminate()
            await asyncio.sleep(0.5)
            load.addresses.remove(stopping.addresses.ingress)
            await asyncio.sleep(1.5)
            writer.write(b"host: a\r\n\r\n")
            head = await reader.readuntil(b"\r\n\r\n")
            await running
            return head

        head = install_reactor().run_until_complete(run())
        assert stopping.process.wait() == 0
        assert head.startswith(b"HTTP/1.1 200") and b"connection: close" in head
        for name in ("makola-0", "makola-1"):
            assert "retry.host_unreachable" not in read_metrics(mesh.daemons[name])
        for result in load.results.values():
            assert dict(result.outcomes) == {"answered": result.sent}
