"""The HTTP API for operators on the control address (klein)."""

from __future__ import annotations

import asyncio
import hmac
import json
import logging
import time
from dataclasses import asdict, is_dataclass
from typing import TYPE_CHECKING, Annotated, TypeVar

from klein import Klein
from pydantic import BaseModel, ConfigDict, Field, ValidationError
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from werkzeug.exceptions import HTTPException

from flamingohead.addresses import split_address
from flamingohead.core.changes import compute_change
from flamingohead.core.comparison import LegacyRoute, LegacyState
from flamingohead.core.differences import describe_change
from flamingohead.core.errors import ErrorKind, Refusal
from flamingohead.core.sheets import check_sheet
from flamingohead.events import Event, log_event
from flamingohead.services.bounded_site import BoundedSite
from flamingohead.services.history import MAX_LISTED_VERSIONS
from flamingohead.settings import Name

if TYPE_CHECKING:
    from flamingohead.core.resources import Resource
    from flamingohead.kernel import Kernel
    from flamingohead.services.status import DaemonStatus, DrainResult, MetricValues

logger = logging.getLogger(__name__)

MAX_BODY_BYTES = 8 * 1024 * 1024
PrintableText = Annotated[str, Field(min_length=1, max_length=128, pattern=r"^[ -~]+$")]
VersionNumber = Annotated[int, Field(ge=0, le=2**53)]
Model = TypeVar("Model", bound=BaseModel)


class _RequestModel(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True)


class _ChangeFields(_RequestModel):
    change_id: Annotated[PrintableText, Field(min_length=8)]
    author: PrintableText
    base_version: VersionNumber


class ChangeRequest(_ChangeFields):
    """Validate a request to replace the configuration by that of a sheet."""

    sheet: str
    dry_run: bool = False


class RevertRequest(_ChangeFields):
    """Validate a request to revert to an earlier version."""

    version: Annotated[VersionNumber, Field(ge=1)]


class DrainRequest(_RequestModel):
    """Validate a request to start or end a drain."""

    upstream: Name
    draining: bool


class LegacyRouteModel(_RequestModel):
    """Validate a route of the legacy scripts."""

    path: Annotated[str, Field(pattern=r"^/[!-~]*$", max_length=1024)]
    methods: Annotated[list[PrintableText], Field(min_length=1, max_length=16)]
    pool: Name


class LegacyRequest(_RequestModel):
    """Validate the output of the legacy scripts for one service."""

    routes: Annotated[list[LegacyRouteModel], Field(max_length=10_000)]
    upstreams: Annotated[list[Name], Field(max_length=10_000)]


class OperatorService:
    """Serve requests for changes and for the state of the mesh."""

    app = Klein()

    def __init__(self, kernel: Kernel, address: str, token: str) -> None:
        self._kernel = kernel
        self._address = address
        self._token = token
        self._port = None

    async def start(self) -> None:
        host, port = split_address(self._address)
        site = BoundedSite(self.app.resource(), max_body_bytes=MAX_BODY_BYTES)
        self._port = reactor.listenTCP(port, site, interface=host)

    async def stop(self) -> None:
        await self._port.stopListening().asFuture(asyncio.get_running_loop())

    # Routes

    @app.route("/v1/status", methods=["GET"])
    def _get_status(self, request):
        return self._respond(request, self._describe_status)

    @app.route("/v1/convergence", methods=["GET"])
    def _get_convergence(self, request):
        return self._respond(request, self._kernel.get("status").describe_convergence)

    @app.route("/v1/metrics", methods=["GET"])
    def _get_metrics(self, request):
        return self._respond(request, self._describe_metrics)

    @app.route("/v1/versions", methods=["GET"])
    def _get_versions(self, request):
        return self._respond(request, lambda: self._list_versions(request))

    @app.route("/v1/versions/<int:version>", methods=["GET"])
    def _get_version(self, request, version: int):
        return self._respond(request, lambda: self._describe_version(version))

    @app.route("/v1/differences", methods=["GET"])
    def _get_differences(self, request):
        return self._respond(request, lambda: self._compare_versions(request))

    @app.route("/v1/changes", methods=["POST"])
    def _post_change(self, request):
        return self._respond(request, lambda: self._accept_change(request))

    @app.route("/v1/reverts", methods=["POST"])
    def _post_revert(self, request):
        return self._respond(request, lambda: self._accept_revert(request))

    @app.route("/v1/drains", methods=["POST"])
    def _post_drain(self, request):
        return self._respond(request, lambda: self._set_drain(request))

    @app.route("/v1/legacy/<service>", methods=["PUT"])
    def _put_legacy(self, request, service: str):
        return self._respond(request, lambda: self._update_legacy(request, service))

    @app.handle_errors(HTTPException)
    def _handle_http_error(self, request, failure):
        error = failure.value
        kind = ErrorKind.NOT_FOUND if error.code == 404 else ErrorKind.MALFORMED_REQUEST
        request.setHeader("content-type", "application/json")
        return _encode_response(request, Refusal(kind, f"{error.code} {error.name}"))

    # Responses

    def _respond(self, request, build) -> Deferred | bytes:
        request.setHeader("content-type", "application/json")
        if not self._is_authorized(request):
            refusal = Refusal(ErrorKind.UNAUTHORIZED, "wrong or missing token")
            self._kernel.get("metrics").count_refusal(refusal)
            return _encode_response(request, refusal)

        async def run() -> bytes:
            try:
                result = await build()
            except Exception:
                logger.exception("operator request failed")
                log_event(logger, Event.REQUEST_FAILED, path=request.path.decode())
                result = Refusal(ErrorKind.INTERNAL, "see the daemon's log")
            if isinstance(result, Refusal):
                self._kernel.get("metrics").count_refusal(result)
            return _encode_response(request, result)

        task = asyncio.get_running_loop().create_task(run())
        return Deferred.fromFuture(task)

    def _is_authorized(self, request) -> bool:
        provided = request.getHeader("authorization") or ""
        expected = f"Bearer {self._token}"
        return hmac.compare_digest(
            provided.encode("utf-8", "replace"), expected.encode("utf-8")
        )

    async def _describe_status(self) -> DaemonStatus:
        return self._kernel.get("status").describe_daemon()

    async def _describe_metrics(self) -> MetricValues:
        return self._kernel.get("status").describe_metrics()

    async def _list_versions(self, request) -> dict | Refusal:
        limit = _read_number(
            request, "limit", low=1, high=MAX_LISTED_VERSIONS, default=20
        )
        if isinstance(limit, Refusal):
            return limit
        versions = await self._kernel.get("history").list_versions(limit)
        if isinstance(versions, Refusal):
            return versions
        return {"versions": [asdict(version) for version in versions]}

    async def _describe_version(self, version: int) -> dict | Refusal:
        snapshot = await self._kernel.get("history").read_snapshot(version)
        if isinstance(snapshot, Refusal):
            return snapshot
        resources = [
            {"kind": key.kind, **asdict(resource)}
            for key, resource in sorted(snapshot.resources.items())
        ]
        return {
            "version": version,
            "digest": snapshot.digest.hex(),
            "resources": resources,
        }

    async def _compare_versions(self, request) -> dict | Refusal:
        before = _read_number(request, "before", low=0, high=2**53)
        if isinstance(before, Refusal):
            return before
        after = _read_number(request, "after", low=0, high=2**53)
        if isinstance(after, Refusal):
            return after
        differences = await self._kernel.get("history").compare(before, after)
        if isinstance(differences, Refusal):
            return differences
        return {"differences": [str(difference) for difference in differences]}

    async def _accept_change(self, request) -> dict | Refusal:
        change = _read_model(request, ChangeRequest)
        if isinstance(change, Refusal):
            return change
        sheet = check_sheet(change.sheet)
        if sheet.problems:
            detail = "; ".join(str(problem) for problem in sheet.problems[:20])
            return Refusal(ErrorKind.INVALID_CONFIGURATION, detail)
        if change.dry_run:
            return await self._preview(sheet.resources)
        return await self._accept(change, list(sheet.resources))

    async def _preview(self, resources: tuple[Resource, ...]) -> dict | Refusal:
        configuration = self._kernel.get("configuration")
        refusal = await configuration.catch_up()
        if refusal is not None:
            return refusal
        current = configuration.replica.snapshot
        differences = describe_change(
            current.resources, compute_change(current, resources)
        )
        return {
            "base_version": current.version,
            "differences": [str(difference) for difference in differences],
        }

    async def _accept_revert(self, request) -> dict | Refusal:
        revert = _read_model(request, RevertRequest)
        if isinstance(revert, Refusal):
            return revert
        snapshot = await self._kernel.get("history").read_snapshot(revert.version)
        if isinstance(snapshot, Refusal):
            return snapshot
        return await self._accept(revert, list(snapshot.resources.values()))

    async def _accept(
        self, change: _ChangeFields, resources: list[Resource]
    ) -> dict | Refusal:
        result = await self._kernel.get("configuration").accept(
            resources,
            change_id=change.change_id,
            author=change.author,
            base_version=change.base_version,
        )
        if isinstance(result, Refusal):
            log_event(
                logger,
                Event.CHANGE_REFUSED,
                change=change.change_id,
                author=change.author,
                kind=result.kind.value,
            )
            return result
        return asdict(result)

    async def _update_legacy(self, request, service: str) -> dict | Refusal:
        legacy = _read_model(request, LegacyRequest)
        if isinstance(legacy, Refusal):
            return legacy
        routes = tuple(
            LegacyRoute(route.path, tuple(route.methods), route.pool)
            for route in legacy.routes
        )
        state = LegacyState(service[:63], routes, tuple(legacy.upstreams))
        differences = self._kernel.get("observation").update_state(state)
        return {"differences": [str(difference) for difference in differences]}

    async def _set_drain(self, request) -> DrainResult | Refusal:
        drain = _read_model(request, DrainRequest)
        if isinstance(drain, Refusal):
            return drain
        status = self._kernel.get("status")
        return await status.set_drain(drain.upstream, drain.draining)


def _read_model(request, model: type[Model]) -> Model | Refusal:
    try:
        return model.model_validate_json(request.content.read())
    except ValidationError as error:
        problems = "; ".join(
            f"{'.'.join(str(part) for part in problem['loc']) or 'body'}: "
            f"{problem['msg']}"
            for problem in error.errors(include_url=False, include_input=False)
        )
        return Refusal(ErrorKind.MALFORMED_REQUEST, problems)


def _read_number(
    request, name: str, *, low: int, high: int, default: int | None = None
) -> int | Refusal:
    values = request.args.get(name.encode(), [])
    if not values and default is not None:
        return default
    text = values[0].decode("latin-1") if values else ""
    if not (text.isascii() and text.isdigit()) or not low <= int(text) <= high:
        return Refusal(
            ErrorKind.MALFORMED_REQUEST,
            f"{name}: found {text[:20]!r}, expected a whole number {low} to {high}",
        )
    return int(text)


def _encode_response(request, result: object) -> bytes:
    if isinstance(result, Refusal):
        request.setResponseCode(result.answer.status)
        retry_after_ms = result.compute_retry_after_ms(time.monotonic())
        result = {
            "error": result.kind.value,
            "detail": result.detail,
            "ran": result.ran.value,
            "retry_after_ms": retry_after_ms,
        }
    elif is_dataclass(result):
        result = asdict(result)
    return json.dumps(result).encode()
