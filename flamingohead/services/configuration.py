"""The configuration of this daemon: receiving, pulling and activating versions."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from dataclasses import replace
from typing import TYPE_CHECKING

from flamingohead.core.dissemination import (
    ActivateSnapshot,
    BecomeReady,
    Dissemination,
    PullFromPeer,
    PushRecord,
    QueryPeers,
    ReadSource,
    ReportRejection,
)
from flamingohead.core.errors import Refusal
from flamingohead.core.pulls import PullAdmission
from flamingohead.core.resources import EMPTY_SNAPSHOT
from flamingohead.core.routing import RouteTable
from flamingohead.events import Event, log_event
from flamingohead.protocol import codec, packing, peers_pb2 as pb
from flamingohead.services.ticks import PeriodicTimer

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingohead.core.dissemination import DisseminationEffect
    from flamingohead.core.rejections import Rejection
    from flamingohead.core.resources import Snapshot
    from flamingohead.core.versions import VersionRecord
    from flamingohead.kernel import Kernel

logger = logging.getLogger(__name__)

TICK_PERIOD_SECONDS = 0.1
MAX_PUSHED_RECORD_BYTES = 1200
# Over a full link, even a small reply takes seconds. What has arrived of it is lost
# when the call ends, so the call may go on while other peers are asked.
PULL_TIMEOUT_SECONDS = 5.0
MAX_PULLS = 3
# Base versions for which a packed reply is cached, since peers may be at different
# versions while they pull during a burst of changes.
MAX_PACKED_REPLIES = 32


class ConfigurationService:
    """Update the replica from its source and from peers."""

    def __init__(self, kernel: Kernel, dissemination: Dissemination) -> None:
        self._kernel = kernel
        self._dissemination = dissemination
        self._ticks = PeriodicTimer(self._tick)
        self._tasks: set[asyncio.Task] = set()
        self._random = random.Random()
        self._pulls = PullAdmission(random=self._random)
        # Addresses of the peers from which pulls are under way.
        self._pulled_addresses: set[str] = set()
        # Returns the peers to pull from besides the one that has the newer version.
        self.list_pull_sources: Callable[[], list[str]] = list
        self._encoded_snapshot = pb.Snapshot()
        # Packed replies to pulls of the active version, by base version of the peer.
        self._packed_replies: dict[int, pb.PullReply] = {}
        # Called after each activation of a version.
        self.listeners: list[Callable[[], None]] = []
        # Called with the routes that were replaced, also when the first are in force.
        self.route_listeners: list[Callable[[RouteTable], None]] = []
        self.routes = RouteTable(EMPTY_SNAPSHOT)
        self.activated_at = 0.0

    @property
    def replica(self):
        return self._dissemination.replica

    @property
    def is_ready(self) -> bool:
        """Return whether calls may be served."""
        return self._dissemination.readiness.is_ready

    def list_rejections(self) -> list[Rejection]:
        """Return the versions that this daemon could not apply."""
        return self._dissemination.rejections.list_all()

    async def start(self) -> None:
        self._ticks.start(TICK_PERIOD_SECONDS, now=True)

    async def stop(self) -> None:
        self._ticks.stop()
        for task in self._tasks:
            task.cancel()

    # Events

    def receive_record(self, record: VersionRecord, sender: str = "") -> None:
        """Process a record pushed by the peer at address ``sender``."""
        now = time.monotonic()
        effects = self._dissemination.receive_records([record], now, sender=sender)
        self._run(effects)

    def receive_peer_version(self, address: str, version: int) -> None:
        """Process the version that a peer reports as its own."""
        now = time.monotonic()
        self._run(self._dissemination.receive_peer_version(address, version, now))

    def apply_document(self, snapshot: Snapshot) -> None:
        """Apply a complete configuration from the source."""
        self._apply_snapshot(snapshot, None)

    def set_source_follower(self, follows: bool) -> None:
        """Set whether this daemon requests from the source or relies on peers."""
        self._dissemination.follows_source = follows

    def read_source(self) -> None:
        """Read the newest version from the source once."""
        self._log_request("source")
        self._spawn(self._kernel.get("feed").read())

    def reject_document(self, version: int, refusal: Refusal) -> None:
        """Report a configuration from the source that can't be used."""
        now = time.monotonic()
        self._run(self._dissemination.report_rejected(version, refusal, now))

    def record_source_read(self, *, succeeded: bool, found: bool = True) -> None:
        """Record whether a read of the newest version from the source succeeded.

        ``found`` is false if the source was read but has no configuration yet.
        """
        now = time.monotonic()
        if succeeded:
            self._run(self._dissemination.record_table_read(now, found=found))
        else:
            self._run(self._dissemination.record_table_failure(now))

    def _tick(self) -> None:
        members = self._kernel.get("gossip").membership.count_members()
        self._run(self._dissemination.tick(time.monotonic(), members=members))

    # Effects

    def _run(self, effects) -> None:
        for effect in effects:
            self._perform(effect)

    def _perform(self, effect: DisseminationEffect) -> None:
        if isinstance(effect, ReadSource):
            self.read_source()
        elif isinstance(effect, PullFromPeer):
            self._start_pull(effect)
        elif isinstance(effect, QueryPeers):
            self._query_peers(effect)
        elif isinstance(effect, PushRecord):
            self._push(effect)
        elif isinstance(effect, ActivateSnapshot):
            self._activate(effect.snapshot)
        elif isinstance(effect, BecomeReady):
            self._become_ready()
        elif isinstance(effect, ReportRejection):
            self._report_rejected(effect)

    def _spawn(self, coroutine) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._finish_task)
        return task

    def _finish_task(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.error("configuration task failed", exc_info=task.exception())

    def _activate(self, snapshot: Snapshot) -> None:
        self.activated_at = time.time()
        self._packed_replies.clear()
        membership = self._kernel.get("gossip").membership
        membership.set_version(snapshot.version)
        metrics = self._kernel.get("metrics")
        metrics.set_gauge("version", snapshot.version)
        metrics.set_gauge(
            "version.longest_behind", round(self._dissemination.longest_behind, 3)
        )
        if self.is_ready:
            self._publish_routes()
        log_event(logger, Event.VERSION_ACTIVATED, version=snapshot.version)
        for listener in self.listeners:
            listener()

    def _become_ready(self) -> None:
        self._publish_routes()
        log_event(logger, Event.CONFIGURATION_READY, version=self.replica.version)

    def _publish_routes(self) -> None:
        replaced = self.routes
        self.routes = replaced.build_next(self.replica.snapshot)
        self._kernel.get("slots").set_routes(self.routes)
        limits = self.routes.client_limits
        if limits is not None:
            self._kernel.get("calls").set_client_limits(limits)
        for listener in self.route_listeners:
            listener(replaced)

    def _push(self, effect: PushRecord) -> None:
        """Push a record, without its change if that is too large for a datagram."""
        record = effect.record
        if codec.encode_record(record).ByteSize() > MAX_PUSHED_RECORD_BYTES:
            record = replace(record, change=None, change_digest=b"")
        self._kernel.get("gossip").push_record(record, effect.fanout)

    def _report_rejected(self, effect: ReportRejection) -> None:
        self._kernel.get("metrics").count("version.rejected")
        log_event(
            logger,
            Event.VERSION_REJECTED,
            version=effect.version,
            reason=effect.refusal.detail,
        )

    def _log_request(self, target: str) -> None:
        log_event(
            logger,
            Event.NEWER_VERSION_REQUESTED,
            asked=target,
            held=self.replica.version,
        )

    # Peers

    def _query_peers(self, effect: QueryPeers) -> None:
        alive = self._kernel.get("gossip").membership.list_usable()
        for member in self._random.sample(alive, min(len(alive), effect.count)):
            self._spawn(self._query_version(member.peer_address))

    async def _query_version(self, address: str) -> None:
        request = pb.StatusRequest()
        reply = await self._kernel.get("peers").call(address, "FetchStatus", request)
        if not isinstance(reply, Refusal):
            self.receive_peer_version(address, reply.version)

    def _start_pull(self, effect: PullFromPeer) -> None:
        """Pull from a peer of which no reply is awaited yet, if there is one."""
        candidates = [effect.address, *self.list_pull_sources()]
        others = [a for a in candidates if a not in self._pulled_addresses]
        if not others or len(self._pulled_addresses) >= MAX_PULLS:
            return
        # Open connections may have gone silent together with the one in use.
        is_first = not self._pulled_addresses
        self._pulled_addresses.add(others[0])
        self._log_request(others[0])
        self._spawn(self._pull(others[0], effect.version, fresh=not is_first))

    async def _pull(self, address: str, version: int, *, fresh: bool) -> None:
        retry_at: float | None = None
        requested_at = time.monotonic()
        outcome = "cancelled"
        try:
            request = pb.PullRequest(version=version, takes_packed=True)
            reply = await self._kernel.get("peers").call(
                address, "Pull", request, timeout=PULL_TIMEOUT_SECONDS, fresh=fresh
            )
            if isinstance(reply, Refusal):
                outcome = "failed"
                return
            if reply.retry_after_ms:
                outcome = "postponed"
                retry_at = time.monotonic() + reply.retry_after_ms / 1000
                self._kernel.get("metrics").count("pull.postponed")
                return
            reply = packing.unpack_pull_reply(reply)
            outcome = "snapshot" if reply.HasField("snapshot") else "records"
            self._apply_pull_reply(reply)
        except codec.CodecError as error:
            outcome = "malformed"
            log_event(logger, Event.PULL_MALFORMED, peer=address, error=error)
            self._kernel.get("metrics").count("pull.malformed")
            retry_at = time.monotonic() + 1.0
        finally:
            self._pulled_addresses.discard(address)
            effects = self._dissemination.record_pull_end(time.monotonic(), retry_at)
            if outcome != "cancelled":
                self._run(effects)
            log_event(
                logger,
                Event.CHANGES_PULLED,
                peer=address,
                outcome=outcome,
                base=version,
                held=self.replica.version,
                seconds=round(time.monotonic() - requested_at, 3),
            )

    def get_pull_reply(
        self, version: int, *, takes_packed: bool = False
    ) -> pb.PullReply:
        """Return the records after a version, a snapshot or a delay before a retry.

        A peer that sets ``takes_packed`` gets records and snapshots compressed.
        """
        if not takes_packed:
            return self._build_pull_reply(version)
        packed = self._packed_replies.get(version)
        if packed is None:
            reply = self._build_pull_reply(version)
            if reply.retry_after_ms:
                return reply
            packed = packing.pack_pull_reply(reply)
            if len(self._packed_replies) >= MAX_PACKED_REPLIES:
                self._packed_replies.clear()
            self._packed_replies[version] = packed
        return packed

    def _build_pull_reply(self, version: int) -> pb.PullReply:
        reply = pb.PullReply(version=self.replica.version)
        records = self.replica.list_records_after(version)
        if records is None:
            records = self.replica.source_records.list_after(version) or None
        if records is not None:
            reply.records.extend(codec.encode_record(record) for record in records)
            return reply
        delay = self._pulls.admit(time.monotonic())
        if delay is not None:
            self._kernel.get("metrics").count("pull.refused")
            reply.retry_after_ms = round(delay * 1000)
            return reply
        if self._encoded_snapshot.version != self.replica.version:
            self._encoded_snapshot = codec.encode_snapshot(self.replica.snapshot)
        self._kernel.get("metrics").count("pull.snapshot_sent")
        reply.snapshot.CopyFrom(self._encoded_snapshot)
        return reply

    def _apply_pull_reply(self, reply: pb.PullReply) -> None:
        records = [codec.decode_record(record) for record in reply.records]
        if reply.HasField("snapshot"):
            snapshot = codec.decode_snapshot(reply.snapshot)
            self._apply_snapshot(snapshot, reply.snapshot.digest)
        self._apply_records(records)

    def _apply_records(self, records) -> int:
        now = time.monotonic()
        self._run(self._dissemination.receive_records(records, now))
        return self.replica.version

    def _apply_snapshot(self, snapshot: Snapshot, digest: bytes | None) -> int:
        now = time.monotonic()
        self._run(self._dissemination.receive_snapshot(snapshot, digest, now))
        return self.replica.version
