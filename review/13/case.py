"""A whole answer is cut off because another worker broke off the answer behind it."""

import asyncio
import socket
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib3"))

from fleet import (  # noqa: E402
    HOST,
    Fleet,
    Worker,
    build_document,
    is_troubled,
    read_body,
    read_head,
    run,
)

# Within the sizes of downloads in the site file (90 KB on average, 540 KB at most).
LEDGER_BYTES = 500_000
ARCHIVE_BYTES = 90_000
# A broken answer ends after its head and this many bytes.
BROKEN_BYTES = 1_000
# One of two workers, three of a hundred of its answers, for 5 s at a time.
BROKEN_SHARE = 0.03
SPELL_SECONDS = 5.0
PAUSE_SECONDS = 2.0
SPELLS = 8
CLIENTS = 24
# Few enough slots that both workers of the archive are needed.
ARCHIVE_SLOTS = 1
ARCHIVE_WORK_SECONDS = 0.02
DEADLINE_MS = 5000
# More than this many break the rule.
ALLOWED = 3
# Clients read at up to 64 KiB in this time, over an ordinary Ethernet segment size.
READ_BYTES = 64 * 1024
READ_PERIOD_SECONDS = 0.02
SEGMENT_BYTES = 1400
RULES = [
    {"prefix": "/ledger/", "kind": "safe", "service": "ledger", "timeout": "5000ms"},
    {"prefix": "/archive/", "kind": "safe", "service": "archive", "timeout": "5000ms"},
]


class SizedWorker(Worker):
    """Answer with ``answer_bytes``, and break off a share of the answers."""

    answer_bytes = LEDGER_BYTES
    broken_share = 0.0
    answered = 0

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                target, headers = head[0].split(" ")[1], head[1]
                await read_body(reader, headers)
                if target == "/healthz":
                    text = f"Instance-Id: {self.name}\r\nInstance-Load: 0,0,18"
                    writer.write(
                        f"HTTP/1.1 200 OK\r\n{text}\r\nContent-Length: 0\r\n\r\n".encode()
                    )
                    continue
                if not await self._answer(target, headers, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, target: str, headers, writer) -> bool:
        name = headers["request-id"]
        if headers.get("expect-instance", self.name) != self.name:
            writer.write(b"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n")
            return True
        self.record.write(f"{self.name} runs {name}")
        await asyncio.sleep(self.work_seconds)
        self.answered += 1
        before = int((self.answered - 1) * self.broken_share)
        is_broken = int(self.answered * self.broken_share) > before
        size = 100 if target.endswith("small") else self.answer_bytes
        head = (
            f"HTTP/1.1 200 OK\r\nRequest-Id: {name}\r\n"
            f"Response-Stamp: {self.name}.{name}\r\nContent-Length: {size}\r\n\r\n"
        )
        if is_broken and size > BROKEN_BYTES:
            writer.write(head.encode() + b"a" * BROKEN_BYTES)
            await writer.drain()
            self.record.write(f"{self.name} breaks off its answer to {name}")
            writer.transport.abort()
            return False
        writer.write(head.encode() + b"a" * size)
        await writer.drain()
        self.runs.append({"id": name, "at": time.monotonic()})
        return True


class SlowReader:
    """Read from a connection as a client on a link of some megabytes a second does."""

    def __init__(self) -> None:
        self._socket: socket.socket | None = None
        self._data = bytearray()

    async def connect(self, address: tuple[str, int]) -> None:
        self._socket = socket.socket()
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ_BYTES)
        self._socket.setblocking(False)
        await asyncio.get_running_loop().sock_connect(self._socket, address)

    def close(self) -> None:
        self._socket.close()
        self._data.clear()

    async def send(self, data: bytes) -> None:
        await asyncio.get_running_loop().sock_sendall(self._socket, data)

    async def read_response(self) -> tuple[int, int, int]:
        """Return the status, the length and the received bytes of the body."""
        while b"\r\n\r\n" not in self._data:
            if not await self._receive():
                return 0, 0, 0
        head, _, rest = bytes(self._data).partition(b"\r\n\r\n")
        status = int(head.split(b" ")[1])
        length = next(
            int(line.partition(b":")[2])
            for line in head.lower().split(b"\r\n")
            if line.startswith(b"content-length:")
        )
        self._data = bytearray(rest)
        while len(self._data) < length:
            if not await self._receive():
                return status, length, len(self._data)
        del self._data[:length]
        return status, length, length

    async def _receive(self) -> bool:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000 + 1):
                data = await loop.sock_recv(self._socket, READ_BYTES)
        except (OSError, TimeoutError):
            return False
        self._data += data
        await asyncio.sleep(READ_PERIOD_SECONDS)
        return bool(data)


def encode_request(path: str, name: str) -> bytes:
    lines = [f"GET {path} HTTP/1.1", f"Host: {HOST}", f"Request-Id: {name}"]
    lines.append(f"Request-Deadline: {DEADLINE_MS}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


async def main(directory: Path) -> bool:
    async with Fleet(directory) as fleet:
        write = fleet.record.write
        fleet.store.write_as_operator("op", "config", build_document(10, RULES))
        services = ("front", "ledger", "archive", "archive")
        zones = ("makola", "osu", "osu", "tema")
        for number, (service, zone) in enumerate(zip(services, zones, strict=True), 1):
            await fleet.add_daemon(f"m{number}", service, zone).start()
        workers = {}
        for daemon in fleet.daemons:
            name = f"i-{daemon.name}"
            slots = ARCHIVE_SLOTS if daemon.service == "archive" else 18
            workers[name] = await fleet.add_worker(
                daemon, name, SizedWorker, slots=slots
            )
        for name in ("i-m3", "i-m4"):
            workers[name].answer_bytes = ARCHIVE_BYTES
            workers[name].work_seconds = ARCHIVE_WORK_SECONDS
        for daemon in fleet.daemons:
            if not await daemon.wait_until_ready():
                raise RuntimeError(f"{daemon.name} is not ready")
        await asyncio.sleep(2)
        front, sound, faulty = fleet.daemons[0], workers["i-m2"], workers["i-m4"]
        lost: list[str] = []
        pairs = 0
        ends_at = time.monotonic() + SPELLS * (SPELL_SECONDS + PAUSE_SECONDS)

        async def exchange(reader: SlowReader, name: str) -> bool:
            """Send two requests behind each other; return whether both are answered."""
            first, second = f"{name}-1", f"{name}-2"
            sent_at = time.monotonic()
            write(f"{first} and {second} are sent")
            await reader.send(
                encode_request("/ledger/big", first)
                + encode_request("/archive/big", second)
            )
            status, length, received = await reader.read_response()
            seconds = time.monotonic() - sent_at
            write(f"{first}: status {status}, {received} of {length} bytes")
            if received < LEDGER_BYTES:
                was_answered = any(run["id"] == first for run in sound.runs)
                if was_answered and seconds < DEADLINE_MS / 1000:
                    lost.append(first)
                    write(f"BROKEN: {first} ended after {seconds:.2f} s, not whole")
                return False
            status, length, received = await reader.read_response()
            write(f"{second}: status {status}, {received} of {length} bytes")
            return status == 200 and received == length

        async def use_connections(client: int) -> None:
            nonlocal pairs
            number = 0
            while time.monotonic() < ends_at:
                number += 1
                reader = SlowReader()
                try:
                    await reader.connect(front.get_address("outbound"))
                    name = f"c{client}-{number}"
                    await reader.send(encode_request("/ledger/small", f"{name}-0"))
                    if (await reader.read_response())[0] == 200:
                        pairs += 1
                        await exchange(reader, name)
                finally:
                    reader.close()

        clients = [asyncio.create_task(use_connections(n)) for n in range(CLIENTS)]
        for _ in range(SPELLS):
            await asyncio.sleep(PAUSE_SECONDS)
            if is_troubled():
                faulty.broken_share = BROKEN_SHARE
            await asyncio.sleep(SPELL_SECONDS)
            faulty.broken_share = 0.0
        await asyncio.gather(*clients)
        print(
            f"{pairs} pairs; {len(lost)} whole answers of a sound worker were cut off"
        )
        return len(lost) > ALLOWED


if __name__ == "__main__":
    run(main, HERE)
