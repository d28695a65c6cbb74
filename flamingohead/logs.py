"""Log output: one line a record, JSON on request, repeats counted."""

from __future__ import annotations

import json
import logging
import os
import sys
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from flamingohead.settings import DaemonSettings

REPEAT_PERIOD = 10.0
REPEATS_SHOWN = 5
# Lines of one kind in a period on standard output: enough to follow single requests,
# and about 10 KB a second at most for the few kinds that a flood brings.
OUTPUT_PERIOD = 1.0
OUTPUT_LINES = 20
MAX_KEPT_BYTES = 256 * 1024
MAX_KINDS = 1024
TEXT_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"


class LineFormatter(logging.Formatter):
    """Format each record as one line; line ends inside it are escaped."""

    def format(self, record: logging.LogRecord) -> str:
        text = super().format(record)
        return text.replace("\r", "\\r").replace("\n", "\\n")


class JsonFormatter(logging.Formatter):
    """Format each record as one JSON object on a line."""

    def format(self, record: logging.LogRecord) -> str:
        fields = getattr(record, "fields", {})
        entry = {
            "time": record.created,
            "level": record.levelname,
            "logger": record.name,
            "event": getattr(record, "event", None),
            "message": getattr(record, "text", None) or record.getMessage(),
            "fields": {name: str(value) for name, value in fields.items()},
        }
        omitted = getattr(record, "omitted", 0)
        if omitted:
            entry["omitted_before"] = omitted
        if record.exc_info:
            entry["exception"] = self.formatException(record.exc_info)
        return json.dumps(entry)


@dataclass
class _Repeats:
    ends_at: float
    shown: int = 0
    dropped: int = 0


class RepeatFilter(logging.Filter):
    """Drop records of one kind after a few in each period, and count them.

    The first record of the next period carries the count. Records are of one kind
    if they have the same event number, or the same message template.
    """

    def __init__(
        self,
        *,
        period: float = REPEAT_PERIOD,
        shown: int = REPEATS_SHOWN,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._period = period
        self._shown = shown
        self._clock = clock
        self._kinds: dict[tuple[str, object], _Repeats] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        now = self._clock()
        kind = (record.name, getattr(record, "event", None) or record.msg)
        repeats = self._kinds.get(kind)
        if repeats is None or now >= repeats.ends_at:
            dropped = 0 if repeats is None else repeats.dropped
            repeats = self._start_period(kind, now)
            if dropped:
                record.msg = f"{record.getMessage()} (and {dropped} more like it)"
                record.args = ()
                record.omitted = dropped
        if repeats.shown >= self._shown:
            repeats.dropped += 1
            return False
        repeats.shown += 1
        return True

    def _start_period(self, kind: tuple[str, object], now: float) -> _Repeats:
        if len(self._kinds) >= MAX_KINDS:
            self._kinds.clear()
        repeats = self._kinds[kind] = _Repeats(now + self._period)
        return repeats


class OutputHandler(logging.Handler):
    """Write lines to a file descriptor without ever waiting for its reader.

    Lines are kept while the reader is slow, up to ``MAX_KEPT_BYTES``; those that did
    not fit are counted, and the count is written once there is room.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._kept = bytearray()
        self._omitted = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        try:
            line = self.format(record).encode(errors="backslashreplace") + b"\n"
        except Exception:
            self.handleError(record)
            return
        if self._kept:
            self._write_kept()
        if len(self._kept) + len(line) > MAX_KEPT_BYTES:
            self._omitted += 1
            return
        if self._omitted:
            self._kept += b'{"omitted_lines": %d}\n' % self._omitted
            self._omitted = 0
        self._kept += line
        self._write_kept()

    def _write_kept(self) -> None:
        try:
            written = os.write(self._descriptor, self._kept)
        except BlockingIOError:
            return
        except OSError:
            # The reader has gone for good; there is nobody to tell.
            written = len(self._kept)
        del self._kept[:written]


def configure_output(level: str = "INFO") -> None:
    """Send log records to standard output, one JSON object a line."""
    handler = OutputHandler(sys.stdout.fileno())
    handler.setFormatter(JsonFormatter())
    handler.addFilter(RepeatFilter(period=OUTPUT_PERIOD, shown=OUTPUT_LINES))
    logging.basicConfig(level=level, handlers=[handler], force=True)


def configure_logging(settings: DaemonSettings) -> None:
    """Send log records to standard error in the format of the settings."""
    handler = logging.StreamHandler()
    if settings.log_format == "json":
        handler.setFormatter(JsonFormatter())
    else:
        handler.setFormatter(LineFormatter(TEXT_FORMAT))
    handler.addFilter(RepeatFilter())
    logging.basicConfig(level=settings.log_level, handlers=[handler], force=True)
