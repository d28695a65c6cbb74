"""Test of a limit across several daemons, in separate processes."""

from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor

from flamingohead.testing.hosts import HOST, HostMesh, build_document, send_request

TENANTS = [
    {"name": "school", "api-keys": ["key-1"], "rate-per-s": 20, "burst": 5},
    {"name": "shrine", "api-keys": ["key-2"]},
]
BOUNDS = {
    "drain": "2000ms",
    "grace": "6s",
    "budget-slack": 58,
    "quota-window": "5s",
    "quota-overage": 0.1,
    "quota-slack": 20,
}
LOAD_SECONDS = 8.0


def send(host, key, request_id):
    headers = {
        "Host": HOST,
        "Request-Id": request_id,
        "Request-Deadline": "1000",
        "X-Api-Key": key,
    }
    status, returned, _ = send_request(host.ingress, "GET", "/l/x", headers=headers)
    return status, returned


def send_steadily(host, key, pause):
    """Return the time and the status of each of a sequence of requests."""
    results = []
    end = time.monotonic() + LOAD_SECONDS
    while time.monotonic() < end:
        status, _ = send(host, key, f"{host.name}-{key}-{len(results)}")
        results.append((time.monotonic(), status))
        time.sleep(pause)
    return results


def test_limit_holds_for_three_daemons_together(tmp_path):
    # Daemons that counted for themselves would admit three times the limit.
    with HostMesh(tmp_path) as mesh:
        document = build_document(1, {"/l/": "ledger"}, tenants=TENANTS)
        mesh.write_row("op", "config", document)
        hosts = [mesh.add_host(f"h{n}", "ledger", bounds=BOUNDS) for n in range(3)]
        for host in hosts:
            wait_for_grant(host)
        with ThreadPoolExecutor(6) as pool:
            floods = [pool.submit(send_steadily, h, "key-1", 0.02) for h in hosts]
            others = [pool.submit(send_steadily, h, "key-2", 0.1) for h in hosts]
            flood = [result for task in floods for result in task.result()]
            unlimited = [result for task in others for result in task.result()]
        refusal = find_refusal(hosts[0])
    assert {status for _, status in flood} == {200, 429}
    assert {status for _, status in unlimited} == {200}
    served = sorted(at for at, status in flood if status == 200)
    bound = (20 * 5 + 5) * 1.1 + 20
    windows = [sum(at <= t <= at + 5.0 for t in served) for at in served]
    assert max(windows) <= bound
    # The limit is used: 20 requests a second for 8 s.
    assert len(served) >= 0.8 * 20 * LOAD_SECONDS
    assert float(refusal["retry-after"]) <= 6.0


def wait_for_grant(host):
    deadline = time.monotonic() + 20
    while True:
        try:
            if send(host, "key-1", f"first-{time.monotonic()}")[0] == 200:
                return
        except OSError:
            pass
        assert time.monotonic() < deadline
        time.sleep(0.2)


def find_refusal(host):
    """Return the headers of a refusal of the limited organisation."""
    for number in range(100):
        status, headers = send(host, "key-1", f"refusal-{number}")
        if status == 429:
            return headers
    raise AssertionError("no request was refused")
