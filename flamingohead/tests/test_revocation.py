"""Tests of confirmations and of the keys that they allow, without a network."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import pytest

from flamingohead.core.members import Member
from flamingohead.core.organisations.revocation import (
    IN_FORCE_SECONDS,
    MAX_CONFIRMATIONS,
    MAX_PENDING_PINGS,
    MAX_RETRY_SECONDS,
    VALID_SHARE,
    ConfirmationLog,
    DocumentContent,
    Revocation,
    StoreDocument,
    choose_ping_target,
    estimate_creation,
)

TIMEOUT = 5.0
VALID = TIMEOUT * VALID_SHARE
POLL_SECONDS = 1.5


def build_revocation(*, version=7, confirmed_at=None, now=100.0):
    revocation = Revocation(TIMEOUT, now)
    if confirmed_at is not None:
        revocation.record_response(version, confirmed_at)
    return revocation


class TestResponsesOfTheStore:
    def test_poll_that_ended_without_a_change_confirms_its_end(self):
        created_at = estimate_creation(10.0, 11.52, wait=1.5, changed=False)
        assert created_at == pytest.approx(11.45)

    def test_poll_may_end_slightly_early(self):
        # Ages would else be twice as high with a store that rounds its timers down.
        created_at = estimate_creation(10.0, 11.499, wait=1.5, changed=False)
        assert created_at == pytest.approx(11.45)

    def test_delayed_response_confirms_only_its_request(self):
        # A response created at once and delayed by seconds would else look recent.
        assert estimate_creation(10.0, 14.0, wait=1.5, changed=False) == 10.0

    def test_poll_that_ended_early_confirms_only_its_request(self):
        assert estimate_creation(10.0, 10.4, wait=1.5, changed=False) == 10.0

    def test_response_with_a_change_confirms_only_its_request(self):
        # It may have been created before a second change, and delayed until now.
        assert estimate_creation(10.0, 11.5, wait=1.5, changed=True) == 10.0

    def test_single_read_confirms_its_request(self):
        assert estimate_creation(10.0, 10.8, wait=0.0, changed=True) == 10.0

    def test_delayed_response_does_not_extend_the_use_of_a_withdrawn_key(self):
        revocation = build_revocation()
        created_at = estimate_creation(100.0, 107.0, wait=1.5, changed=False)
        revocation.record_response(7, created_at)
        assert revocation.check_key(7, 107.0) is not None


class TestLifetime:
    def test_restarted_daemon_accepts_no_key_without_a_confirmation(self):
        revocation = build_revocation()
        assert revocation.check_key(7, 100.1) is not None
        assert revocation.encode_age(7, 100.1) == 0

    def test_key_ends_before_the_timeout_on_a_host_that_is_cut_off(self):
        revocation = build_revocation(confirmed_at=100.0)
        assert revocation.check_key(7, 100.0 + VALID - 0.01) is None
        assert revocation.check_key(7, 100.0 + VALID) is not None
        assert VALID < TIMEOUT

    def test_process_that_was_suspended_has_an_old_confirmation(self):
        # Nothing runs during the pause; the first request after it must not pass.
        revocation = build_revocation(confirmed_at=100.0)
        assert revocation.check_key(7, 108.0) is not None
        assert revocation.encode_age(7, 108.0) == 0

    def test_keys_need_no_confirmation_without_a_timeout(self):
        revocation = Revocation(None, 0.0)
        assert revocation.check_key(7, 1000.0) is None
        actions = revocation.choose_refresh(7, 1000.0, polls_store=False)
        assert not actions.pings_peer and not actions.reads_store

    def test_delay_grows_with_the_outage_within_bounds(self):
        # A short fixed delay would have every caller refused many times in an outage.
        revocation = build_revocation(confirmed_at=100.0)
        delays = [revocation.check_key(7, 100.0 + VALID + s) for s in (0.1, 2.0, 60.0)]
        assert delays == [0.5, pytest.approx(2.0), MAX_RETRY_SECONDS]


class TestPeers:
    def test_age_counts_from_the_ping(self):
        revocation = build_revocation()
        revocation.record_ping(1, 100.0)
        assert revocation.record_acknowledgement(1, 7, 1001, 100.4)
        assert revocation.get_age(7, 100.4) == pytest.approx(1.4)

    def test_delayed_and_repeated_acknowledgement_is_no_younger(self):
        revocation = build_revocation()
        revocation.record_ping(1, 100.0)
        for received_at in (100.1, 103.0, 109.0):
            revocation.record_acknowledgement(1, 7, 1, received_at)
        assert revocation.get_age(7, 109.0) == pytest.approx(9.0)

    def test_repeated_sending_of_a_ping_keeps_its_first_time(self):
        # The acknowledgement may answer the first sending.
        revocation = build_revocation()
        revocation.record_ping(1, 100.0)
        revocation.record_ping(1, 100.3)
        revocation.record_acknowledgement(1, 7, 1, 100.4)
        assert revocation.get_age(7, 100.4) == pytest.approx(0.4)

    def test_acknowledgement_of_an_unknown_ping_is_ignored(self):
        # It may answer a ping of the process that ran before a restart.
        revocation = build_revocation()
        assert not revocation.record_acknowledgement(9, 7, 1, 100.4)
        assert revocation.check_key(7, 100.4) is not None

    def test_acknowledgement_without_a_confirmation_is_ignored(self):
        revocation = build_revocation()
        revocation.record_ping(1, 100.0)
        assert not revocation.record_acknowledgement(1, 7, 0, 100.1)

    def test_version_of_a_newer_peer_counts_once_it_is_active_here(self):
        # The newer version may be the one that withdraws the key.
        revocation = build_revocation()
        revocation.record_ping(1, 100.0)
        revocation.record_acknowledgement(1, 8, 1, 100.1)
        assert revocation.check_key(7, 100.2) is not None
        assert revocation.check_key(8, 100.2) is None

    def test_newer_peer_does_not_replace_the_confirmation_held(self):
        revocation = build_revocation(confirmed_at=99.0)
        revocation.record_ping(1, 100.0)
        revocation.record_acknowledgement(1, 8, 1, 100.1)
        assert revocation.get_age(7, 100.2) == pytest.approx(1.2)

    def test_older_peer_confirms_no_later_time_than_its_own(self):
        # Its age is that of its own confirmation, from before the newer version.
        revocation = build_revocation(version=8, confirmed_at=99.0)
        revocation.record_ping(1, 100.0)
        revocation.record_acknowledgement(1, 7, 3001, 100.1)
        assert revocation.get_age(8, 100.2) == pytest.approx(1.2)

    def test_pending_pings_are_bounded(self):
        # A poll of all members sends thousands of pings.
        revocation = build_revocation()
        for sequence in range(MAX_PENDING_PINGS + 1):
            revocation.record_ping(sequence, 100.0)
        assert not revocation.record_acknowledgement(0, 7, 1, 100.1)
        assert revocation.record_acknowledgement(1, 7, 1, 100.1)

    def test_encoded_age_is_rounded_up(self):
        # Ages add up from daemon to daemon and must not be understated.
        revocation = build_revocation(confirmed_at=100.0)
        assert revocation.encode_age(7, 100.0) == 1
        assert revocation.encode_age(7, 101.0004) == 1002


class TestVersionsInQuickSuccession:
    def test_confirmations_of_later_versions_are_kept_until_they_are_active(self):
        log = ConfirmationLog()
        for version in range(7, 11):
            log.add(version, 100.0 + version)
        assert [log.find(v) for v in (6, 7, 9, 10)] == [None, 107.0, 109.0, 110.0]

    def test_confirmation_of_a_lower_version_and_a_later_time_replaces(self):
        log = ConfirmationLog()
        log.add(9, 100.0)
        log.add(7, 101.0)
        assert log.find(9) == 101.0

    def test_confirmation_held_survives_a_long_burst(self):
        log = ConfirmationLog()
        for version in range(7, 40):
            log.add(version, 100.0 + version)
        assert log.find(7) == 107.0
        assert log.find(39) == 139.0
        log = ConfirmationLog()
        for version in range(7, 40):
            log.add(version, 100.0 + version)
        assert len(log._confirmations) == MAX_CONFIRMATIONS


class TestDenial:
    def test_unknown_key_is_denied_while_no_newer_version_has_to_be_in_force(self):
        revocation = build_revocation(confirmed_at=100.0)
        assert revocation.check_denial(7, 100.0 + IN_FORCE_SECONDS - 0.01) is None

    def test_unknown_key_is_not_denied_by_an_old_configuration(self):
        # A newer configuration with the key may be in force on the other hosts.
        revocation = build_revocation(confirmed_at=100.0)
        assert revocation.check_denial(7, 100.0 + IN_FORCE_SECONDS) == 0.5

    def test_denial_needs_a_confirmation_without_strict_revocation_too(self):
        revocation = Revocation(None, 100.0)
        assert revocation.check_denial(7, 100.1) is not None
        revocation.record_response(7, 100.1)
        assert revocation.check_denial(7, 100.2) is None


class TestRejectedDocument:
    def record(self, document, number, version, content, active):
        document.record((1, number), version, content, active_version=active)
        return document.confirmed_version

    def test_next_version_that_is_invalid_confirms_the_one_in_force(self):
        # An invalid document would else end the use of all keys within the timeout.
        document = StoreDocument()
        self.record(document, 1, 7, DocumentContent.APPLIED, 7)
        assert self.record(document, 2, 8, DocumentContent.REJECTED, 7) == 7
        assert self.record(document, 3, 9, DocumentContent.REJECTED, 7) == 7

    def test_invalid_version_after_a_missed_one_confirms_nothing(self):
        # The missed version may be valid and withdraw a key.
        document = StoreDocument()
        self.record(document, 1, 7, DocumentContent.APPLIED, 7)
        assert self.record(document, 2, 9, DocumentContent.REJECTED, 7) is None
        assert self.record(document, 3, 10, DocumentContent.REJECTED, 7) is None

    def test_document_without_a_version_confirms_nothing(self):
        document = StoreDocument()
        self.record(document, 1, 7, DocumentContent.APPLIED, 7)
        assert self.record(document, 2, None, DocumentContent.REJECTED, 7) is None

    def test_repaired_document_confirms_itself(self):
        document = StoreDocument()
        self.record(document, 2, 9, DocumentContent.REJECTED, 7)
        assert self.record(document, 3, 10, DocumentContent.APPLIED, 10) == 10

    def test_other_content_under_a_known_version_confirms_nothing(self):
        # A restored store gives version numbers out again.
        document = StoreDocument()
        self.record(document, 1, 7, DocumentContent.APPLIED, 7)
        assert self.record(document, 2, 7, DocumentContent.DIFFERENT, 7) is None

    def test_late_response_with_an_earlier_document_is_ignored(self):
        document = StoreDocument()
        self.record(document, 5, 9, DocumentContent.REJECTED, 7)
        assert self.record(document, 4, 7, DocumentContent.APPLIED, 7) is None


@dataclass(eq=False)
class SimulatedDaemon:
    """Represent a daemon that pings, or polls a store that may reject it."""

    member: Member
    revocation: Revocation
    polls: bool = False
    rejected: bool = False
    sent: int = 0
    reads: int = 0
    ages: list[float] = field(default_factory=list)
    phase: float = 0.0


STEP = 0.25
LATENCY = 0.002


class Simulation:
    """Daemons of several failure domains; times are seconds from the start."""

    def __init__(self, *, domains=3, hosts=8, seed=1):
        self.random = random.Random(seed)
        self.now = 0.0
        self.daemons = []
        self.sequence = 0
        self.cut = set()
        for domain in range(domains):
            for number in range(hosts):
                name = f"d{domain}-h{number}"
                member = Member(name, f"d{domain}", f"{name}:1", f"{name}:2", 1)
                daemon = SimulatedDaemon(member, Revocation(TIMEOUT, 0.0))
                daemon.polls = number == 0
                daemon.phase = self.random.uniform(0, POLL_SECONDS)
                self.daemons.append(daemon)

    def run(self, seconds):
        for _ in range(round(seconds / STEP)):
            self.now += STEP
            for daemon in self.daemons:
                self.step(daemon)

    def step(self, daemon):
        if daemon.polls and not daemon.rejected and daemon not in self.cut:
            if (self.now - daemon.phase) % POLL_SECONDS < STEP:
                daemon.revocation.record_response(7, self.now - LATENCY)
        elif round(self.now / STEP) % 2:
            # The check of the first subscriber that is part of the subscription.
            first = next(
                d
                for d in self.daemons
                if d.polls and d.member.failure_domain == daemon.member.failure_domain
            )
            self.ping(daemon, first)
        actions = daemon.revocation.choose_refresh(
            7, self.now, polls_store=daemon.polls
        )
        if actions.pings_peer:
            daemon.sent += 1
            others = [d for d in self.daemons if d is not daemon]
            target = choose_ping_target(
                [d.member for d in others], daemon.member.failure_domain, self.random
            )
            self.ping(daemon, next(d for d in others if d.member is target))
        if actions.reads_store:
            daemon.reads += 1
            if not daemon.rejected and daemon not in self.cut:
                daemon.revocation.record_response(7, self.now)
        daemon.ages.append(daemon.revocation.get_age(7, self.now))

    def ping(self, sender, receiver):
        self.sequence += 1
        sender.revocation.record_ping(self.sequence, self.now)
        if sender in self.cut or receiver in self.cut:
            return
        age_ms = receiver.revocation.encode_age(7, self.now + LATENCY)
        sender.revocation.record_acknowledgement(
            self.sequence, 7, age_ms, self.now + 2 * LATENCY
        )


class TestSpreadOfConfirmations:
    def test_usual_state_needs_no_extra_messages(self):
        simulation = Simulation()
        simulation.run(5.0)
        for daemon in simulation.daemons:
            daemon.sent = daemon.reads = 0
            daemon.ages.clear()
        simulation.run(20.0)
        assert max(max(d.ages) for d in simulation.daemons) < 2.0
        assert sum(d.sent + d.reads for d in simulation.daemons) == 0

    @pytest.mark.parametrize("seed", range(5))
    def test_daemons_that_the_store_rejects_keep_their_keys(self, seed):
        # Replays a store that rejects a whole failure domain for 9 s.
        simulation = Simulation(seed=seed)
        simulation.run(5.0)
        rejected = [d for d in simulation.daemons if d.member.failure_domain == "d1"]
        for daemon in simulation.daemons:
            daemon.rejected = daemon in rejected
            daemon.sent = daemon.reads = 0
            daemon.ages.clear()
        simulation.run(9.0)
        assert max(max(d.ages) for d in rejected) < 3.0
        average = sum(sum(d.ages) / len(d.ages) for d in rejected) / len(rejected)
        assert average < 2.0
        assert max(d.sent for d in simulation.daemons) <= 2 * 9

    def test_daemon_that_is_cut_off_stops_in_time_and_pings_at_a_bounded_rate(self):
        simulation = Simulation()
        simulation.run(5.0)
        daemon = simulation.daemons[5]
        simulation.cut.add(daemon)
        cut_at = simulation.now
        simulation.run(2.25)
        assert daemon.revocation.check_key(7, simulation.now) is None
        simulation.run(TIMEOUT - 2.25)
        assert daemon.revocation.check_key(7, cut_at + TIMEOUT) is not None
        daemon.sent = daemon.reads = 0
        simulation.run(20.0)
        assert daemon.sent <= 40 and daemon.reads <= 4

    def test_store_is_read_if_no_peer_can_confirm(self):
        # The subscribers are gone, and no other daemon has a confirmation either.
        simulation = Simulation(domains=1, hosts=3)
        simulation.run(5.0)
        simulation.cut.add(simulation.daemons[0])
        simulation.run(10.0)
        assert all(d.reads for d in simulation.daemons[1:])
        assert max(max(d.ages[-20:]) for d in simulation.daemons[1:]) < VALID


class TestPingTarget:
    def build(self, *domains):
        return [
            Member(f"h{n}", domain, f"h{n}:1", f"h{n}:2", 1)
            for n, domain in enumerate(domains)
        ]

    def test_other_failure_domains_are_preferred_but_not_the_only_choice(self):
        # The own subscribers are lost; or the links to all other domains are cut.
        members = self.build("a", "a", "b", "c")
        generator = random.Random(1)
        chosen = [
            choose_ping_target(members, "a", generator).failure_domain
            for _ in range(200)
        ]
        assert chosen.count("a") < 60
        assert set(chosen) == {"a", "b", "c"}

    def test_single_failure_domain_and_no_member(self):
        assert choose_ping_target(self.build("a"), "a", random.Random(1)) is not None
        assert choose_ping_target([], "a", random.Random(1)) is None
