"""Log output: one line per record, as text or JSON, with repeats rate-limited."""

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

REPEAT_PERIOD_SECONDS = 10.0
REPEAT_LIMIT = 5
# Limit on lines of one kind per period on standard output: enough to follow single
# requests, and at most about 10 KB/s for the few kinds that a burst consists of.
OUTPUT_PERIOD_SECONDS = 1.0
OUTPUT_LINE_LIMIT = 20
MAX_BUFFERED_BYTES = 256 * 1024
MAX_KINDS = 1024
TEXT_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"


class LineFormatter(logging.Formatter):
    """Format each record as one line; escape line ends inside it."""

    def format(self, record: logging.LogRecord) -> str:
        text = super().format(record)
        return text.replace("\r", "\\r").replace("\n", "\\n")


class JsonFormatter(logging.Formatter):
    """Format each record as a JSON object on one line."""

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
class _PeriodCounts:
    ends_at: float
    passed: int = 0
    dropped: int = 0


class RepeatFilter(logging.Filter):
    """Limit the records of each kind per period and count the dropped ones.

    The first record of the next period reports the count. Records of one logger are of
    the same kind if they have the same event number, or the same message template.
    """

    def __init__(
        self,
        *,
        period: float = REPEAT_PERIOD_SECONDS,
        shown: int = REPEAT_LIMIT,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        super().__init__()
        self._period = period
        self._shown = shown
        self._clock = clock
        self._kinds: dict[tuple[str, object], _PeriodCounts] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        now = self._clock()
        kind = (record.name, getattr(record, "event", None) or record.msg)
        counts = self._kinds.get(kind)
        if counts is None or now >= counts.ends_at:
            dropped = 0 if counts is None else counts.dropped
            counts = self._start_period(kind, now)
            if dropped:
                record.msg = f"{record.getMessage()} (and {dropped} more like it)"
                record.args = ()
                record.omitted = dropped
        if counts.passed >= self._shown:
            counts.dropped += 1
            return False
        counts.passed += 1
        return True

    def _start_period(self, kind: tuple[str, object], now: float) -> _PeriodCounts:
        if len(self._kinds) >= MAX_KINDS:
            self._kinds.clear()
        counts = self._kinds[kind] = _PeriodCounts(now + self._period)
        return counts


class OutputHandler(logging.Handler):
    """Write lines to a file descriptor without blocking on a slow reader.

    Lines are buffered while the reader is slow, up to ``MAX_BUFFERED_BYTES``. Lines
    that don't fit are dropped; their count is written once the buffer has room.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._buffer = bytearray()
        self._dropped_lines = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        try:
            line = self.format(record).encode(errors="backslashreplace") + b"\n"
        except Exception:
            self.handleError(record)
            return
        if self._buffer:
            self._flush_buffer()
        if len(self._buffer) + len(line) > MAX_BUFFERED_BYTES:
            self._dropped_lines += 1
            return
        if self._dropped_lines:
            self._buffer += b'{"omitted_lines": %d}\n' % self._dropped_lines
            self._dropped_lines = 0
        self._buffer += line
        self._flush_buffer()

    def _flush_buffer(self) -> None:
        try:
            written = os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            return
        except OSError:
            # The reader has closed the pipe: discard the buffer, since nothing can
            # report the failure.
            written = len(self._buffer)
        del self._buffer[:written]


def configure_stdout_logging(level: str = "INFO") -> None:
    """Write log records to standard output, one JSON object per line."""
    handler = OutputHandler(sys.stdout.fileno())
    handler.setFormatter(JsonFormatter())
    handler.addFilter(
        RepeatFilter(period=OUTPUT_PERIOD_SECONDS, shown=OUTPUT_LINE_LIMIT)
    )
    logging.basicConfig(level=level, handlers=[handler], force=True)


def configure_logging(settings: DaemonSettings) -> None:
    """Write log records to standard error in the format that the settings specify."""
    handler = logging.StreamHandler()
    if settings.log_format == "json":
        handler.setFormatter(JsonFormatter())
    else:
        handler.setFormatter(LineFormatter(TEXT_FORMAT))
    handler.addFilter(RepeatFilter())
    logging.basicConfig(level=settings.log_level, handlers=[handler], force=True)
