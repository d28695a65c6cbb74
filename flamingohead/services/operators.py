"""The operators' endpoint (klein) on the control address."""

from __future__ import annotations

import asyncio
import hmac
import json
import time
from typing import TYPE_CHECKING

from klein import Klein
from pydantic import BaseModel, ConfigDict, Field, ValidationError
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.web.server import Site

from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.sheets import parse_sheet
from flamingohead.protocol import peers_pb2 as pb
from flamingohead.services.bootstrap import HOST_PREFIX
from flamingohead.settings import split_address

if TYPE_CHECKING:
    from flamingohead.kernel import Kernel

MAX_BODY_BYTES = 8 * 1024 * 1024
DOMAIN_STATUS_TIMEOUT = 3.0


class ChangeRequest(BaseModel):
    """Hold one checked request for a change."""

    model_config = ConfigDict(extra="forbid")

    change_id: str = Field(min_length=8, max_length=128)
    author: str = Field(min_length=1, max_length=128)
    base_version: int = Field(ge=0)
    sheet: str


class OperatorService:
    """Take changes and answer questions about the state of the mesh."""

    app = Klein()

    def __init__(self, kernel: Kernel, address: str, token: str) -> None:
        self._kernel = kernel
        self._address = address
        self._token = token
        self._port = None

    async def start(self) -> None:
        host, port = split_address(self._address)
        site = Site(self.app.resource())
        site.noisy = False
        site.displayTracebacks = False
        self._port = reactor.listenTCP(port, site, interface=host)

    async def stop(self) -> None:
        await self._port.stopListening().asFuture(asyncio.get_running_loop())

    @app.route("/v1/status", methods=["GET"])
    def _get_status(self, request):
        return self._answer(request, self._describe_status)

    @app.route("/v1/convergence", methods=["GET"])
    def _get_convergence(self, request):
        return self._answer(request, self._collect_convergence)

    @app.route("/v1/changes", methods=["POST"])
    def _post_change(self, request):
        return self._answer(request, lambda: self._accept_change(request))

    @app.route("/v1/counters", methods=["GET"])
    def _get_counters(self, request):
        return self._answer(request, self._describe_counters)

    # Answers

    def _answer(self, request, build) -> Deferred | bytes:
        request.setHeader("content-type", "application/json")
        if not self._is_authorized(request):
            return _write(request, Refusal(ErrorKind.UNAUTHORIZED, "wrong token"))

        async def run() -> bytes:
            return _write(request, await build())

        task = asyncio.get_running_loop().create_task(run())
        return Deferred.fromFuture(task)

    def _is_authorized(self, request) -> bool:
        given = request.getHeader("authorization") or ""
        expected = f"Bearer {self._token}"
        return hmac.compare_digest(given.encode(), expected.encode())

    async def _describe_status(self) -> dict:
        membership = self._kernel.get("gossip").membership
        configuration = self._kernel.get("configuration")
        return {
            "host_id": membership.myself.host_id,
            "failure_domain": membership.myself.failure_domain,
            "version": configuration.replica.version,
            "digest": configuration.replica.snapshot.digest.hex(),
            "activated_at": configuration.activated_at,
            "members": [
                {
                    "host_id": member.host_id,
                    "status": member.status.name.lower(),
                    "upstreams": [
                        {
                            "name": upstream.name,
                            "service": upstream.service,
                            "status": upstream.status.name.lower(),
                            "slots": upstream.slots,
                        }
                        for upstream in member.upstreams
                    ],
                }
                for member in membership.list_all()
            ],
        }

    async def _describe_counters(self) -> dict:
        metrics = self._kernel.get("metrics")
        return {"counters": dict(metrics.counters), "gauges": metrics.gauges}

    async def _accept_change(self, request) -> dict | Refusal:
        body = request.content.read(MAX_BODY_BYTES + 1)
        if len(body) > MAX_BODY_BYTES:
            return Refusal(
                ErrorKind.REQUEST_TOO_LARGE, f"body over {MAX_BODY_BYTES} bytes"
            )
        try:
            change = ChangeRequest.model_validate_json(body)
        except ValidationError as error:
            return Refusal(ErrorKind.MALFORMED_REQUEST, str(error))
        sheet = parse_sheet(change.sheet)
        if sheet.problems:
            detail = "; ".join(str(problem) for problem in sheet.problems)
            return Refusal(ErrorKind.INVALID_CONFIGURATION, detail)
        result = await self._kernel.get("configuration").accept(
            list(sheet.resources),
            change_id=change.change_id,
            author=change.author,
            base_version=change.base_version,
        )
        if isinstance(result, Refusal):
            return result
        return {
            "version": result.version,
            "change_id": result.change_id,
            "accepted_at": result.accepted_at,
        }

    async def _collect_convergence(self) -> dict:
        peers = self._kernel.get("peers")
        own = await peers.collect_domain_status()
        remote = await asyncio.gather(
            *(
                self._ask_domain(domain, addresses)
                for domain, addresses in (await self._list_domains()).items()
                if domain != own.failure_domain
            )
        )
        domains = [own, *remote]
        return {
            "domains": [
                {
                    "failure_domain": domain.failure_domain,
                    "members": {m.host_id: m.version for m in domain.members},
                    "unreachable": list(domain.unreachable),
                }
                for domain in domains
            ]
        }

    async def _list_domains(self) -> dict[str, list[str]]:
        rows = await self._kernel.get("table").scan(HOST_PREFIX, limit=1000)
        domains: dict[str, list[str]] = {}
        if isinstance(rows, Refusal):
            return domains
        for row in rows:
            domain = row.key.split("/")[1]
            address = json.loads(row.value)["peer_address"]
            domains.setdefault(domain, []).append(address)
        return domains

    async def _ask_domain(
        self, domain: str, addresses: list[str]
    ) -> pb.DomainStatusReply:
        for address in addresses[:3]:
            reply = await self._kernel.get("peers").call(
                address,
                "FetchDomainStatus",
                pb.DomainStatusRequest(),
                timeout=DOMAIN_STATUS_TIMEOUT,
            )
            if not isinstance(reply, Refusal):
                return reply
        return pb.DomainStatusReply(failure_domain=domain, unreachable=["*"])


def _write(request, result: dict | Refusal) -> bytes:
    if isinstance(result, Refusal):
        request.setResponseCode(result.answer.status)
        retry_after_ms = result.compute_retry_after_ms(time.monotonic())
        result = {
            "error": result.kind.value,
            "detail": result.detail,
            "ran": result.ran.value,
            "retry_after_ms": retry_after_ms,
        }
    return json.dumps(result).encode()
