"""Tests of ledgers, claims, scopes and what callers with keys are told."""

from __future__ import annotations

import pytest

from flamingohead.core.errors import ErrorKind, ExecutionStatus, Refusal
from flamingohead.core.idempotency import (
    KeyedRequest,
    KeyState,
    StoredAnswer,
    qualify_refusal,
)
from flamingohead.core.ledger import KeyLedger, LedgerSettings
from flamingohead.core.scopes import Scope, look_up_scoped, rank_successors, read_scope
from flamingohead.testing.fake_keys import Delivery, Execution, KeySimulation

SECRET = b"secret"


def make_request(key="visit-1", digest="a", attempt=0, call_id="call"):
    return KeyedRequest("booking", key, digest, attempt, call_id)


def make_answer(size=10):
    return StoredAnswer(200, (), b"." * size)


class TestKeyLedger:
    def test_nonce_starts_once(self):
        ledger = KeyLedger()
        ledger.add_entry(make_request(), "nonce", 100.0)
        assert ledger.start("nonce", 0.0, 5.0) is None
        refusal = ledger.start("nonce", 0.0, 5.0)
        assert refusal.kind is ErrorKind.KEY_OUTCOME_UNKNOWN

    def test_refused_nonce_never_starts(self):
        ledger = KeyLedger()
        ledger.add_entry(make_request(), "nonce", 100.0)
        ledger.mark_not_run("nonce")
        assert isinstance(ledger.start("nonce", 0.0, 5.0), Refusal)

    def test_late_start_is_refused_for_good(self):
        ledger = KeyLedger()
        entry = ledger.add_entry(make_request(), "nonce", 100.0)
        assert ledger.start("nonce", 5.0, 5.0).kind is ErrorKind.DEADLINE_PASSED
        assert entry.state is KeyState.NOT_RUN

    def test_answers_stay_within_memory(self):
        ledger = KeyLedger(LedgerSettings(10, 100, 250))
        for number in range(4):
            ledger.add_entry(make_request(f"visit-{number}"), f"nonce-{number}", 100.0)
            ledger.start(f"nonce-{number}", 0.0, 5.0)
            ledger.finish(f"nonce-{number}", make_answer(100))
        assert ledger.answer_bytes == 200
        dropped = ledger.look_up(make_request("visit-0"))
        assert dropped.kind is ErrorKind.KEY_ANSWER_NOT_KEPT
        assert dropped.ran is ExecutionStatus.YES
        assert ledger.look_up(make_request("visit-3")) == make_answer(100)
        ledger.expire(100.0)
        assert (len(ledger), ledger.answer_bytes) == (0, 0)

    def test_full_ledger_refuses_before_anything_runs(self):
        ledger = KeyLedger(LedgerSettings(1, 100, 250))
        ledger.add_entry(make_request("visit-1"), "nonce-1", 100.0)
        refusal = ledger.add_entry(make_request("visit-2"), "nonce-2", 100.0)
        assert refusal.kind is ErrorKind.KEY_LIMIT_REACHED
        assert refusal.ran is ExecutionStatus.NO

    def test_earlier_attempt_does_not_follow_a_refused_one(self):
        ledger = KeyLedger()
        ledger.add_entry(make_request(attempt=2, call_id="second"), "nonce", 100.0)
        ledger.mark_not_run("nonce")
        refusal = ledger.look_up(make_request(attempt=1, call_id="first"))
        assert refusal.kind is ErrorKind.KEY_SUPERSEDED
        assert ledger.look_up(make_request(attempt=3, call_id="third")) is None

    def test_other_content_under_a_key_is_refused(self):
        ledger = KeyLedger()
        ledger.add_entry(make_request(digest="a"), "nonce", 100.0)
        refusal = ledger.look_up(make_request(digest="b"))
        assert refusal.kind is ErrorKind.KEY_REUSED


class TestClaimAttempt:
    def test_claim_thawed_after_its_row_expired_does_not_run(self):
        keys = KeySimulation(lifetime=100.0, margin=50.0)
        for host_id in ("host-1", "host-2"):
            keys.add_host(host_id)
        first, second = keys.hosts
        frozen = keys.send(first, keys.make_request("visit-1", "a", 0), 1)
        for _ in range(2):
            keys.step(frozen, Delivery.ANSWERED, Execution.ANSWERED)
        first.frozen = True
        keys.now = 99.0
        late = keys.send(second, keys.make_request("visit-1", "a", 0), 2, timeout=90.0)
        keys.step(late, Delivery.ANSWERED, Execution.ANSWERED)
        keys.now = 151.0
        keys.table.sweep(keys.now, keys.margin)
        first.frozen = False
        for attempt in (late, frozen):
            for _ in range(9):
                keys.step(attempt, Delivery.ANSWERED, Execution.ANSWERED)
        assert [run.sequence for run in keys.journal] == [2]

    def test_overtaken_attempt_does_not_run_after_not_run_was_told(self):
        keys = KeySimulation()
        for host_id in ("host-1", "host-2"):
            keys.add_host(host_id)
        for sequence, host in ((2, keys.hosts[0]), (1, keys.hosts[1])):
            request = keys.make_request("visit-1", "a", sequence)
            attempt = keys.send(host, request, sequence)
            execution = Execution.SHED if sequence == 2 else Execution.ANSWERED
            for _ in range(9):
                keys.step(attempt, Delivery.ANSWERED, execution)
            assert qualify_refusal(attempt.result, sequence).ran is ExecutionStatus.NO
        assert keys.journal == []


class TestQualifyRefusal:
    @pytest.mark.parametrize(
        ("attempt", "key_checked", "told"),
        [
            (0, False, ExecutionStatus.UNKNOWN),
            (0, True, ExecutionStatus.UNKNOWN),
            (1, False, ExecutionStatus.NO),
            (2, False, ExecutionStatus.UNKNOWN),
            (2, True, ExecutionStatus.NO),
        ],
    )
    def test_not_run_is_told_only_where_the_key_is_known(
        self, attempt, key_checked, told
    ):
        refusal = Refusal(ErrorKind.QUEUE_FULL, key_checked=key_checked)
        assert qualify_refusal(refusal, attempt).ran is told


class TestScope:
    scope = Scope("osu-1", "127.0.0.1:8081", "1f", 60)

    def test_key_gives_its_scope_back(self):
        key = self.scope.encode(SECRET) + "visit~1"
        assert read_scope(key, SECRET) == self.scope

    @pytest.mark.parametrize(
        ("old", "new"), [("osu-1", "osu-2"), ("8081", "8082"), ("~60~", "~90~")]
    )
    def test_changed_scope_is_refused(self, old, new):
        key = self.scope.encode(SECRET).replace(old, new) + "visit-1"
        assert read_scope(key, SECRET).kind is ErrorKind.KEY_SCOPE_INVALID

    @pytest.mark.parametrize(
        ("attempt", "ran"), [(0, ExecutionStatus.UNKNOWN), (1, ExecutionStatus.NO)]
    )
    @pytest.mark.parametrize(
        ("ledger_id", "now", "kind"),
        [
            ("2f", 0.0, ErrorKind.KEY_HOME_UNREACHABLE),
            ("1f", 60.0, ErrorKind.KEY_EXPIRED),
        ],
    )
    def test_restarted_home_and_expired_scope_run_nothing(
        self, ledger_id, now, kind, attempt, ran
    ):
        request = make_request(attempt=attempt)
        known = look_up_scoped(KeyLedger(), ledger_id, self.scope, request, now)
        assert (known.kind, known.ran) == (kind, ran)

    def test_successors_are_found_without_the_home(self):
        host_ids = [f"osu-{number}" for number in range(9)]
        chosen = rank_successors("1f", host_ids)
        other = [host_id for host_id in host_ids if host_id not in chosen]
        assert rank_successors("1f", [*other[1:], *chosen[::-1]]) == chosen
