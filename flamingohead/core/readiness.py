"""Readiness of a daemon that started without a configuration.

A daemon is ready once it holds the newest version that the end of the log shows, or,
while the table is out of reach, the newest that a sample of its peers shows.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from automat import TypeMachineBuilder

SAMPLE_SIZE = 3
SAMPLE_WAIT = 3.0
ANSWER_LIFETIME = 5.0


class _Inputs(Protocol):
    def finish_table_read(self) -> bool:
        """Note that the end of the log is held."""

    def fail_table_read(self) -> bool:
        """Note that the table is out of reach."""

    def complete_sample(self) -> bool:
        """Note that the newest version of a sample of peers is held."""


class _NoCore:
    """Hold nothing; the machine's state is all there is."""


def _build_machine():
    builder = TypeMachineBuilder(_Inputs, _NoCore)
    starting = builder.state("starting")
    sampling = builder.state("sampling")
    ready = builder.state("ready")
    starting.upon(_Inputs.finish_table_read).to(ready).returns(True)
    starting.upon(_Inputs.fail_table_read).to(sampling).returns(False)
    starting.upon(_Inputs.complete_sample).loop().returns(False)
    sampling.upon(_Inputs.finish_table_read).to(ready).returns(True)
    sampling.upon(_Inputs.fail_table_read).loop().returns(False)
    sampling.upon(_Inputs.complete_sample).to(ready).returns(True)
    for signal in (
        _Inputs.finish_table_read,
        _Inputs.fail_table_read,
        _Inputs.complete_sample,
    ):
        ready.upon(signal).loop().returns(True)
    return builder.build()


_Machine = _build_machine()


class ServingReadiness:
    """Decide when a daemon that holds a configuration has the upstreams to serve it.

    The load it answers: a restarted daemon that is sent callers before it has met its
    peers, and would refuse what all others can serve. A service without any upstream
    holds it back for ``grace`` seconds only.
    """

    def __init__(self, grace: float = 2.0) -> None:
        self._grace = grace
        self._ends_at: float | None = None
        self._is_ready = False

    def check(self, wanted: set[str], known: set[str], now: float) -> bool:
        """Tell whether callers may be sent here; it stays so from then on."""
        if self._ends_at is None:
            self._ends_at = now + self._grace
        if not self._is_ready:
            self._is_ready = wanted <= known or now >= self._ends_at
        return self._is_ready


@dataclass(frozen=True)
class _Answer:
    version: int
    expires_at: float


class Readiness:
    """Decide when a started daemon may serve; it stays ready from then on."""

    def __init__(self) -> None:
        self._machine = _Machine(_NoCore())
        self._answers: dict[str, _Answer] = {}
        self._sample_ends_at: float | None = None
        self.is_ready = False

    def finish_table_read(self) -> None:
        """Note that the replica reached the end of the log."""
        self.is_ready = self._machine.finish_table_read()

    def fail_table_read(self, now: float) -> None:
        """Note that the table did not answer."""
        if self._sample_ends_at is None:
            self._sample_ends_at = now + SAMPLE_WAIT
        self.is_ready = self._machine.fail_table_read()

    def receive_peer_version(self, address: str, version: int, now: float) -> None:
        """Note the version that a peer holds; 0 says nothing about the newest."""
        if self.is_ready or version == 0:
            return
        known = self._answers.get(address)
        if known is None or version >= known.version or now >= known.expires_at:
            self._answers[address] = _Answer(version, now + ANSWER_LIFETIME)

    def update(self, held: int, now: float, *, members: int) -> None:
        """Check the sample; ``members`` counts the failure domain with this daemon."""
        if self.is_ready or self._sample_ends_at is None:
            return
        # A peer that is gone can't hold this daemon back with what it once showed.
        answers = [a.version for a in self._answers.values() if now < a.expires_at]
        if not answers:
            return
        wanted = min(SAMPLE_SIZE, max(1, members - 1))
        complete = len(answers) >= wanted or now >= self._sample_ends_at
        if complete and held >= max(answers):
            self.is_ready = self._machine.complete_sample()
