"""Callers and version probes: threads that send requests on persistent connections."""

from __future__ import annotations

import http.client
import threading
import time
from typing import TYPE_CHECKING
from urllib.parse import urlencode

from flamingohead.testing.hosts import HOST
from soak.organisations import FLOODING_KEY
from soak.records import NO_RESPONSE, Outcome, VersionObservation

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from flamingohead.testing.hosts import Host
    from soak.records import Records

DEADLINE_MS = 1000
WORK_MS = 5
# The client times out slightly after the deadline that its requests announce.
CLIENT_TIMEOUT_SECONDS = DEADLINE_MS / 1000 + 0.5
MAX_REQUEST_INTERVAL_SECONDS = 0.12
# Shares of the requests: those that must not be executed twice, and those that are
# sent on a new connection.
UNSAFE_SHARE = 0.5
# Share of the unsafe requests that are uploads, and the sizes of their bodies.
UPLOAD_SHARE = 0.3
UPLOAD_BYTES = (4_000, 20_000, 60_000)
NEW_CONNECTION_SHARE = 0.1
# Share of the requests of which each upstream is to refuse the first arrivals, their
# number, and when a duplicate of each refusal is written: never, in front of the
# response to the next request of the connection, or after some milliseconds.
REFUSAL_SHARE = 0.3
REFUSAL_COUNTS = (1, 1, 2)
DUPLICATES = (None, "next", 0, 2, 10, 50)
# Share of the requests that an uneven upstream is to treat as if its queue was full:
# each may hold a slot until its deadline.
SILENCE_SHARE = 0.005
# Shares of the requests with a key that was withdrawn, with one that no configuration
# contained, and without a key.
WITHDRAWN_SHARE = 0.1
# A key that was withdrawn this long ago is about to be refused everywhere.
LATE_SECONDS = 4.5
UNKNOWN_SHARE = 0.03
MISSING_SHARE = 0.03
PROBE_PERIOD_SECONDS = 0.1
# Number of the newest versions among which a probe chooses.
PROBED_VERSIONS = 3


class Caller(threading.Thread):
    """Send requests to one host until ``stopping`` is set.

    Each request is for one of ``services`` and takes ``work_ms`` to execute. Some ask
    for refusals, or have a wrong key, while ``asks_for_refusals`` is set. Keys are
    those of ``list_keys``, if there are any.
    """

    max_interval_seconds = MAX_REQUEST_INTERVAL_SECONDS

    def __init__(
        self,
        host: Host,
        name: str,
        records: Records,
        random: Random,
        *,
        services: tuple[str, ...],
        work_ms: int,
        list_keys: Callable[[], tuple[str, ...]] = tuple,
        asks_for_silence: bool = False,
    ) -> None:
        super().__init__(daemon=True)
        self._host = host
        self._id_prefix = name
        self._records = records
        self._random = random
        self._connection: http.client.HTTPConnection | None = None
        self._request_count = 0
        self._services = services
        self._work_ms = work_ms
        self._list_keys = list_keys
        self._asks_for_silence = asks_for_silence
        self.asks_for_refusals = True
        self.stopping = threading.Event()

    def run(self) -> None:
        while not self.stopping.is_set():
            self.send_next_request()
        self.close_connection()

    def send_next_request(self) -> None:
        """Send one request, then wait for a random time."""
        if self._random.random() < NEW_CONNECTION_SHARE:
            self.close_connection()
        safe = self._random.random() >= UNSAFE_SHARE
        service = self._random.choice(self._services)
        path, payload = f"/{service}/x", b""
        if not safe and self._random.random() < UPLOAD_SHARE:
            path = f"/upload-{service}/x"
            payload = self._random.randbytes(self._random.choice(UPLOAD_BYTES))
        elif not safe:
            path = f"/unsafe-{service}/x"
        self.send(
            f"{path}?{self._choose_query()}",
            safe=safe,
            key=self._choose_key(),
            payload=payload,
        )
        self.stopping.wait(self._random.uniform(0, self.max_interval_seconds))

    def _choose_key(self) -> str | None:
        keys = self._list_keys()
        if not keys:
            return None
        draw = self._random.random() if self.asks_for_refusals else 1.0
        if draw < WITHDRAWN_SHARE:
            return self._random.choice(self._list_withdrawn(time.monotonic()) or keys)
        if draw < WITHDRAWN_SHARE + UNKNOWN_SHARE:
            return f"unknown-{self._random.randrange(1000)}"
        if draw < WITHDRAWN_SHARE + UNKNOWN_SHARE + MISSING_SHARE:
            return ""
        return self._random.choice(keys)

    def _list_withdrawn(self, until: float) -> list[str]:
        return [
            key
            for key, history in list(self._records.keys.items())
            if history.withdrawn_at is not None and history.withdrawn_at <= until
        ]

    def _choose_query(self) -> str:
        fields: dict[str, object] = {"work-ms": self._work_ms}
        if self.asks_for_refusals and self._random.random() < REFUSAL_SHARE:
            fields["refusals"] = self._random.choice(REFUSAL_COUNTS)
            duplicate = self._random.choice(DUPLICATES)
            if duplicate is not None:
                fields["duplicate"] = duplicate
        if self._asks_for_silence and self.asks_for_refusals:
            if self._random.random() < SILENCE_SHARE:
                fields["silences"] = 1
        return urlencode(fields)

    def send(
        self, path: str, *, safe: bool, key: str | None = None, payload: bytes = b""
    ) -> Outcome:
        """Send one request and record its outcome, without the echo of the payload."""
        self._request_count += 1
        request_id = f"{self._id_prefix}-{self._request_count}"
        headers = {
            "Host": HOST,
            "Request-Id": request_id,
            "Request-Deadline": str(DEADLINE_MS),
        }
        if key is not None:
            # The daemon must replace the name that a caller sends.
            headers |= {"Tenant": "forged", **({"X-Api-Key": key} if key else {})}
        sent_at = time.monotonic()
        status, body, stamp, timed_out = NO_RESPONSE, b"", "", False
        try:
            connection = self._connection or self._connect()
            method = "GET" if safe else "POST"
            connection.request(method, path, body=payload or None, headers=headers)
            response = connection.getresponse()
            body = response.read()
            status, stamp = response.status, response.getheader("Response-Stamp", "")
            if payload and status == 200:
                has_echo = body.endswith(payload)
                body = body[: -len(payload)] if has_echo else b"no echo of the payload"
            if response.will_close:
                self.close_connection()
        except TimeoutError:
            timed_out = True
            self.close_connection()
        except (OSError, http.client.HTTPException):
            self.close_connection()
        outcome = Outcome(
            request_id,
            self._host.name,
            safe,
            sent_at,
            time.monotonic(),
            status,
            body,
            stamp,
            timed_out,
            key,
        )
        self._records.outcomes.append(outcome)
        return outcome

    def close_connection(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def _connect(self) -> http.client.HTTPConnection:
        self._connection = http.client.HTTPConnection(
            self._host.ingress, timeout=CLIENT_TIMEOUT_SECONDS
        )
        return self._connection


class Flood(Caller):
    """Send requests of one organisation at a multiple of its limit."""

    max_interval_seconds = 0.05

    def _choose_query(self) -> str:
        return urlencode({"work-ms": self._work_ms})

    def _choose_key(self) -> str | None:
        return FLOODING_KEY


class LateCaller(Caller):
    """Use the key that was withdrawn last of those withdrawn some seconds ago.

    It is meant for a host that a fault keeps from the versions without the key.
    """

    def _choose_query(self) -> str:
        return urlencode({"work-ms": self._work_ms})

    def _choose_key(self) -> str | None:
        withdrawn = self._list_withdrawn(time.monotonic() - LATE_SECONDS)
        if not withdrawn:
            return super()._choose_key()
        return max(withdrawn, key=lambda key: self._records.keys[key].withdrawn_at)


class VersionProbe(Caller):
    """Observe which versions are in force on one host by requesting their routes."""

    def send_next_request(self) -> None:
        versions = sorted(self._records.versions)
        pid = self._host.daemon.popen.pid
        if versions:
            version = self._random.choice(versions[-PROBED_VERSIONS:])
            outcome = self.send(f"/v{version}/x?work-ms={WORK_MS}", safe=True)
            # Only 200 and 404 show which routes exist; a daemon without a configuration
            # refuses every request with another status.
            is_conclusive = outcome.status in (200, 404)
            if is_conclusive and pid == self._host.daemon.popen.pid:
                self._records.version_observations.append(
                    VersionObservation(
                        self._host.name,
                        pid,
                        outcome.sent_at,
                        version,
                        outcome.status == 200,
                    )
                )
        self.stopping.wait(PROBE_PERIOD_SECONDS)
