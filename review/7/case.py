"""The keys of all tenants are withdrawn, and every request is served from then on."""

import asyncio
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

KEYS = {"shrine": "key-of-shrine", "school": "key-of-school"}
ROUTES = [("/billing/", "unsafe", "billing", {})]
# The bounds of kurogane-cast-grown.
BOUNDS = {"strict-revoke": True, "revoke": "5000ms"}
REVOKE_SECONDS = 5.0
# The dose of the site file: revoke, count = 2, gap_s = 1.5.
GAP_SECONDS = 1.5
# Answers may be delayed on a busy machine; the rule counts from the acknowledgement.
MARGIN_SECONDS = 0.5


def build_version(version, withdrawn=()):
    tenants = [
        {"name": name, "api-keys": [] if name in withdrawn else [key]}
        for name, key in KEYS.items()
    ]
    return build_config(version, ROUTES, tenants=tenants)


async def behave(server, request, writer):
    # The key itself must not reach the server.
    key, tenant = request.get("x-api-key"), request.get("tenant")
    server.mesh.record.note("got", request.get("request-id"), "key", key, "as", tenant)
    await asyncio.sleep(0.02)
    writer.write(build_response(200, b"changed", server.build_headers(request)))


class Client:
    """Send requests with the key of a tenant on a kept connection."""

    def __init__(self, mesh, daemon, tenant):
        self.mesh, self.daemon, self.tenant = mesh, daemon, tenant
        self.sent = {}
        self.statuses = Counter()

    async def run(self, ends_at):
        host, port = self.daemon.listen["outbound"].split(":")
        while time.monotonic() < ends_at:
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                while time.monotonic() < ends_at:
                    answer = await self.ask(reader, writer)
                    if answer is None or answer.get("connection") == "close":
                        break
                    await asyncio.sleep(0.1)
            finally:
                writer.close()

    async def ask(self, reader, writer):
        request_id = new_id()
        headers = [("X-Api-Key", KEYS[self.tenant])]
        data = build_request("POST", "/billing/1", request_id, 1500, b"x", headers)
        self.sent[request_id] = time.monotonic()
        writer.write(data)
        self.mesh.record.note("sent", self.tenant, request_id)
        answer = await asyncio.wait_for(read_message(reader), 5)
        if answer is not None:
            self.mesh.record.note("answered", request_id, answer.status)
            self.statuses[answer.status] += 1
        return answer


async def case(mesh):
    mesh.contracts = [*mesh.contracts, "tenants", "quota"]
    await mesh.start(["billing"] * 3, behave, build_version(1), **BOUNDS)
    ends_at = time.monotonic() + 4 + GAP_SECONDS + REVOKE_SECONDS + 5
    clients = [Client(mesh, d, tenant) for d in mesh.daemons for tenant in KEYS]
    tasks = [asyncio.create_task(client.run(ends_at)) for client in clients]
    await asyncio.sleep(4)
    acknowledged = {}
    if TROUBLE:
        withdrawn = []
        for version, tenant in enumerate(KEYS, start=2):
            withdrawn.append(tenant)
            mesh.set_config(build_version(version, withdrawn))
            acknowledged[tenant] = time.monotonic()
            mesh.record.note("withdrawn", tenant)
            await asyncio.sleep(GAP_SECONDS)
    await asyncio.gather(*tasks)
    runs = {
        request.get("request-id")
        for daemon in mesh.daemons
        for _, request in daemon.server.runs
    }
    late = [
        request_id
        for client in clients
        for request_id, sent_at in client.sent.items()
        if client.tenant in acknowledged
        and sent_at > acknowledged[client.tenant] + REVOKE_SECONDS + MARGIN_SECONDS
        and request_id in runs
    ]
    statuses = sum((client.statuses for client in clients), Counter())
    print(f"statuses {dict(statuses)}; {len(late)} ran with a key withdrawn before")
    if not statuses[200]:
        raise CannotRun("no request was served")
    return bool(late)


run_case(case, Path(__file__).resolve().parent)
