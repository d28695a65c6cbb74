"""The steps that the machines of keyed requests share."""

from __future__ import annotations

from enum import Enum

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
)

from flamingohead.core.errors import Refusal
from flamingohead.core.idempotency import qualify_refusal
from flamingohead.testing.fake_keys import (
    Delivery,
    Execution,
    KeySimulation,
    SentAttempt,
    may_retry_at_other_host,
)

KEYS = ("visit-1", "visit-2")
HOSTS = 3


class Fault(Enum):
    """Name what happens to a host, the table or the clock."""

    RESTART = "restart"
    FREEZE = "freeze"
    CUT = "cut"
    OUTAGE = "outage"
    LATE_WRITE = "late write"
    SWEEP = "sweep"


picks = st.integers(0, 5)
hosts = st.integers(0, HOSTS - 1)
marks = st.sampled_from([True, True, False])
deliveries = st.sampled_from([Delivery.ANSWERED] * 8 + list(Delivery))
executions = st.sampled_from([Execution.SHED, Execution.ANSWERED] * 2 + list(Execution))
step_counts = st.sampled_from([9, 9, 9, 0, 1, 2, 3])
elsewheres = st.sampled_from([None] * HOSTS + list(range(HOSTS)))
faults = st.sampled_from(list(Fault) + [Fault.LATE_WRITE] * 2)


class KeyMachine(RuleBasedStateMachine):
    """Send attempts, fail hosts and the table, and tell callers the ends."""

    def __init__(self) -> None:
        super().__init__()
        self.keys = KeySimulation()
        for number in range(HOSTS):
            self.keys.add_host(f"host-{number}")
        self.attempts: list[SentAttempt] = []
        self.sent = dict.fromkeys(KEYS, 0)

    def check_told(self, attempt: SentAttempt, told) -> None:
        """Check what a caller is told."""

    @initialize(host=hosts, marked=marks, count=st.sampled_from([1, 2, 0]))
    def send_early(self, host, marked, count):
        """Leave attempts on their way, to arrive after later ones."""
        for number in range(count):
            self._send(KEYS[0], "a", (host + number) % HOSTS, marked)

    @rule(
        host=hosts,
        marked=marks,
        steps=step_counts,
        delivery=deliveries,
        execution=executions,
        elsewhere=elsewheres,
    )
    def send(self, host, marked, steps, delivery, execution, elsewhere):
        self._send(KEYS[0], "a", host, marked)
        self._step(self.attempts[-1], steps, delivery, execution, elsewhere)

    @rule(host=hosts, content=st.sampled_from("ab"))
    def send_other_key(self, host, content):
        self._send(KEYS[1], content, host, False)

    @precondition(lambda self: self.attempts)
    @rule(
        pick=picks,
        steps=step_counts,
        delivery=deliveries,
        execution=executions,
        elsewhere=elsewheres,
    )
    def step(self, pick, steps, delivery, execution, elsewhere):
        attempt = self.attempts[pick % len(self.attempts)]
        self._step(attempt, steps, delivery, execution, elsewhere)

    def _send(self, key, content, host, marked):
        self.sent[key] += 1
        number = self.sent[key] if marked else 0
        request = self.keys.make_request(key, content, number)
        chosen = self.keys.hosts[host]
        self.attempts.append(self.keys.send(chosen, request, self.sent[key]))

    def _step(self, attempt, steps, delivery, execution, elsewhere):
        for _ in range(steps):
            self.keys.step(attempt, delivery, execution)
            delivery = Delivery.ANSWERED
        if attempt.result is not None:
            self.attempts.remove(attempt)
            self._end(attempt, elsewhere)

    def _end(self, attempt, elsewhere):
        result = attempt.result
        if elsewhere is not None and may_retry_at_other_host(result):
            chosen = self.keys.hosts[elsewhere]
            again = self.keys.send(chosen, attempt.request, attempt.sequence)
            self.attempts.append(again)
            return
        if isinstance(result, Refusal):
            result = qualify_refusal(result, attempt.request.attempt)
        self.check_told(attempt, result)

    @rule(fault=faults, host=hosts, pick=picks)
    def fail(self, fault, host, pick):
        chosen, table = self.keys.hosts[host], self.keys.table
        if fault is Fault.RESTART:
            self.keys.restart(chosen, self.attempts)
        elif fault is Fault.FREEZE:
            chosen.frozen = not chosen.frozen
        elif fault is Fault.CUT:
            chosen.cut = not chosen.cut
        elif fault is Fault.OUTAGE:
            table.outage = not table.outage
        elif fault is Fault.SWEEP:
            self.keys.now += 60.0
            chosen.ledger.expire(self.keys.now)
            table.sweep(self.keys.now, self.keys.margin)
        elif table.delayed_writes:
            table.apply(table.delayed_writes.pop(pick % len(table.delayed_writes)))
