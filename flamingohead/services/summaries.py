"""Exchange of service summaries with daemons of other failure domains."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from flamingohead.core.messages import Datagram
from flamingohead.core.summaries import (
    LocalSummary,
    RemoteSummaries,
    RemoteSummary,
    SummaryReply,
    SummaryRequest,
    summarize_members,
)
from flamingohead.services.ticks import PeriodicTimer

if TYPE_CHECKING:
    from random import Random

    from flamingohead.kernel import Kernel

TICK_PERIOD_SECONDS = 0.1
REFRESH_PERIOD_SECONDS = 1.0
MAX_SHARED_CONTACTS = 2


class SummaryService:
    """Exchange service summaries with daemons of other failure domains."""

    def __init__(self, kernel: Kernel, failure_domain: str, *, random: Random) -> None:
        self.remote = RemoteSummaries(failure_domain, random=random)
        self._kernel = kernel
        self._random = random
        self._local = LocalSummary()
        self._refreshed_at = 0.0
        self._ticks = PeriodicTimer(self._tick)

    async def start(self) -> None:
        self._ticks.start(TICK_PERIOD_SECONDS, now=False)

    async def stop(self) -> None:
        self._ticks.stop()

    def list_remote(self, service: str) -> list[RemoteSummary]:
        """Return the current summaries of a service in other failure domains."""
        return self.remote.list_remote(service, time.monotonic())

    def receive(self, datagram: Datagram) -> None:
        """Handle a datagram from another failure domain."""
        now = time.monotonic()
        domain = datagram.failure_domain
        self.remote.add_contact(domain, datagram.sender_address, now)
        body = datagram.body
        if isinstance(body, SummaryRequest):
            self._reply(datagram, body, now)
        elif isinstance(body, SummaryReply):
            self._kernel.get("metrics").count("summary.replies")
            self.remote.receive_reply(domain, datagram.sequence, body, now)

    def _reply(self, datagram: Datagram, request: SummaryRequest, now: float) -> None:
        membership = self._kernel.get("gossip").membership
        if now >= self._refreshed_at + REFRESH_PERIOD_SECONDS:
            self._refreshed_at = now
            members = [membership.local_member, *membership.list_usable()]
            self._local.set_services(summarize_members(members))
        alive = membership.list_usable()
        shared = self._random.sample(alive, min(len(alive), MAX_SHARED_CONTACTS))
        contacts = tuple(member.peer_address for member in shared)
        for reply in self._local.answer(request, contacts, self._random):
            self._kernel.get("gossip").send_remote(
                datagram.sender_address, datagram.sequence, reply
            )

    def _tick(self) -> None:
        for effect in self.remote.tick(time.monotonic()):
            metrics = self._kernel.get("metrics")
            metrics.count("summary.requests")
            metrics.set_gauge("summary.services", self.remote.count_services())
            self._kernel.get("gossip").send_remote(
                effect.address, effect.sequence, effect.request
            )
