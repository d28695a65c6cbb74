"""Readiness of a daemon that started without a configuration.

A daemon is ready once its replica has the newest version of the log. While the table
is unreachable, it is ready once its replica has the newest version that a sample of its
peers reports.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from automat import TypeMachineBuilder

SAMPLE_SIZE = 3
SAMPLE_WAIT = 3.0
PEER_VERSION_LIFETIME = 5.0


class _Inputs(Protocol):
    def record_table_read(self) -> bool:
        """Record that the replica has reached the end of the log."""

    def record_table_failure(self) -> bool:
        """Record that the table is unreachable."""

    def complete_sample(self) -> bool:
        """Record that the replica has the newest version of a sample of peers."""


class _EmptyCore:
    """Carry no data, since the state of the machine suffices."""


def _build_machine():
    builder = TypeMachineBuilder(_Inputs, _EmptyCore)
    starting = builder.state("starting")
    sampling = builder.state("sampling")
    ready = builder.state("ready")
    starting.upon(_Inputs.record_table_read).to(ready).returns(True)
    starting.upon(_Inputs.record_table_failure).to(sampling).returns(False)
    starting.upon(_Inputs.complete_sample).loop().returns(False)
    sampling.upon(_Inputs.record_table_read).to(ready).returns(True)
    sampling.upon(_Inputs.record_table_failure).loop().returns(False)
    sampling.upon(_Inputs.complete_sample).to(ready).returns(True)
    for signal in (
        _Inputs.record_table_read,
        _Inputs.record_table_failure,
        _Inputs.complete_sample,
    ):
        ready.upon(signal).loop().returns(True)
    return builder.build()


_Machine = _build_machine()


class ServingReadiness:
    """Decide when a configured daemon knows enough upstreams to serve callers.

    Without it, a restarted daemon could receive callers before it has joined its peers,
    and refuse requests that all other daemons can serve. A service without any upstream
    delays readiness for ``grace`` seconds only.
    """

    def __init__(self, grace: float = 2.0) -> None:
        self._grace = grace
        self._ends_at: float | None = None
        self._is_ready = False

    def check(self, wanted: set[str], known: set[str], now: float) -> bool:
        """Return whether callers may be sent here; once true, it stays true.

        ``wanted`` holds the configured services, ``known`` those with upstreams.
        """
        if self._ends_at is None:
            self._ends_at = now + self._grace
        if not self._is_ready:
            self._is_ready = wanted <= known or now >= self._ends_at
        return self._is_ready


@dataclass(frozen=True)
class _PeerVersion:
    version: int
    expires_at: float


class Readiness:
    """Decide when a started daemon may serve; once ready, it stays ready."""

    def __init__(self) -> None:
        self._machine = _Machine(_EmptyCore())
        self._peer_versions: dict[str, _PeerVersion] = {}
        self._sample_ends_at: float | None = None
        self.is_ready = False

    def record_table_read(self) -> None:
        """Record that the replica has reached the end of the log."""
        self.is_ready = self._machine.record_table_read()

    def record_table_failure(self, now: float) -> None:
        """Record that the table did not respond, and start the sampling period."""
        if self._sample_ends_at is None:
            self._sample_ends_at = now + SAMPLE_WAIT
        self.is_ready = self._machine.record_table_failure()

    def receive_peer_version(self, address: str, version: int, now: float) -> None:
        """Record the active version of a peer; 0 stands for none and is ignored."""
        if self.is_ready or version == 0:
            return
        known = self._peer_versions.get(address)
        if known is None or version >= known.version or now >= known.expires_at:
            self._peer_versions[address] = _PeerVersion(
                version, now + PEER_VERSION_LIFETIME
            )

    def update(self, local_version: int, now: float, *, members: int) -> None:
        """Become ready if ``local_version`` is at least that of a complete sample.

        ``members`` is the size of the failure domain, including this daemon.
        """
        if self.is_ready or self._sample_ends_at is None:
            return
        # Reports expire, so that a peer that has died can't delay readiness.
        versions = [
            report.version
            for report in self._peer_versions.values()
            if now < report.expires_at
        ]
        if not versions:
            return
        needed = min(SAMPLE_SIZE, max(1, members - 1))
        complete = len(versions) >= needed or now >= self._sample_ends_at
        if complete and local_version >= max(versions):
            self.is_ready = self._machine.complete_sample()
