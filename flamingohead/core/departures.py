"""Departures of the upstream of a host, which must outlive its daemon.

An acknowledged departure also binds the next daemon of the host, which starts without
any state. So a departure is acknowledged only once the table or other daemons hold it.
A daemon that has just started uses no upstream before it has asked both for earlier
departures: a late message of an upstream that has left would put it back into use. This
is for planned stops and kills of daemons while the table does not respond. Copies don't
survive a kill of all daemons; ``lifecycle/arrivals.py`` is for that.
"""

from __future__ import annotations

from flamingohead.core.members import Departure

# Other daemons that must hold a departure in place of the table.
REQUIRED_COPIES = 2
# After a read of the table, the first peers respond to a join within this time; a
# daemon without peers goes on alone after it.
JOIN_WAIT_SECONDS = 1.0
# After a join, the table responds within this time unless it is unavailable.
TABLE_WAIT_SECONDS = 0.5


class DepartureTracker:
    """Decide whether a departure is safe, and whether earlier ones are known.

    Times are seconds on the caller's monotonic clock.
    """

    def __init__(self) -> None:
        self.latest: Departure | None = None
        self.is_stored = False
        self._holders: set[str] = set()
        self._table_read_at: float | None = None
        self._joined_at: float | None = None

    # Departures

    def record(self, name: str, incarnation: int, wall_ms: int) -> bool:
        """Record the departure of an upstream; return whether it is a new one."""
        latest = self.latest
        if latest is None:
            self._replace(Departure(wall_ms, name, incarnation))
            return True
        if latest.name == name and latest.incarnation == incarnation:
            return False
        recorded_at = max(wall_ms, latest.recorded_at + 1)
        self._replace(Departure(recorded_at, name, incarnation))
        return True

    def adopt(self, departure: Departure, *, is_stored: bool) -> bool:
        """Take over a departure that an earlier daemon of this host recorded.

        Returns whether it is later than the latest known one.
        """
        if self.latest is not None and departure <= self.latest:
            self.is_stored = self.is_stored or (is_stored and departure == self.latest)
            return False
        self._replace(departure)
        self.is_stored = is_stored
        return True

    def confirm_stored(self, departure: Departure) -> None:
        """Record that the table holds a departure."""
        self.is_stored = self.is_stored or departure == self.latest

    def confirm_copy(self, host_id: str, departure: Departure) -> None:
        """Record that the daemon of another host holds a departure."""
        if departure == self.latest:
            self._holders.add(host_id)

    def handle_store_restored(self) -> None:
        """Process a restore of the store, which may lack the departure."""
        self.is_stored = False

    def is_safe(self, peers: int) -> bool:
        """Return whether the latest departure survives a restart of this daemon.

        ``peers`` is the number of other daemons; the only one of them is enough.
        """
        if self.latest is None or self.is_stored:
            return True
        return peers > 0 and len(self._holders) >= min(REQUIRED_COPIES, peers)

    def _replace(self, departure: Departure) -> None:
        self.latest = departure
        self.is_stored = False
        self._holders.clear()

    # Earlier departures

    def note_table_read(self, now: float) -> None:
        """Record that the table has returned the departure that it holds, if any."""
        if self._table_read_at is None:
            self._table_read_at = now

    def note_joined(self, now: float) -> None:
        """Record that a peer has returned the departure that it holds, if any."""
        if self._joined_at is None:
            self._joined_at = now

    def knows_earlier(self, now: float) -> bool:
        """Return whether the departures before the start of this daemon are known."""
        table_read_at, joined_at = self._table_read_at, self._joined_at
        if table_read_at is not None and joined_at is not None:
            return True
        if table_read_at is not None:
            return now >= table_read_at + JOIN_WAIT_SECONDS
        return joined_at is not None and now >= joined_at + TABLE_WAIT_SECONDS
