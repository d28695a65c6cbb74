"""Tests of the kernel that starts and stops services."""

from __future__ import annotations

import pytest

from flamingohead.daemon import EXIT_NOT_STARTED
from flamingohead.exits import ExitCode
from flamingohead.kernel import Kernel, StartError
from flamingohead.services.reactor import install_reactor
from flamingohead.testing.processes import LocalMesh


class RecordingService:
    def __init__(self, name, calls, *, fails=False):
        self.name = name
        self.calls = calls
        self.fails = fails

    async def start(self):
        if self.fails:
            raise OSError("address in use")
        self.calls.append(f"start {self.name}")

    async def stop(self):
        self.calls.append(f"stop {self.name}")


def run(coroutine):
    return install_reactor().run_until_complete(coroutine)


class TestKernel:
    def test_services_start_in_order_and_stop_in_reverse(self):
        kernel, calls = Kernel(), []
        for name in "ab":
            kernel.add(name, RecordingService(name, calls))
        run(kernel.start())
        run(kernel.stop())
        assert calls == ["start a", "start b", "stop b", "stop a"]

    def test_failed_start_names_the_service_and_stops_the_others(self):
        kernel, calls = Kernel(), []
        kernel.add("a", RecordingService("a", calls))
        kernel.add("b", RecordingService("b", calls, fails=True))
        with pytest.raises(StartError, match="service 'b' can't start: address in use"):
            run(kernel.start())
        assert calls == ["start a", "stop a"]

    def test_unknown_and_duplicate_names_are_refused(self):
        kernel = Kernel()
        kernel.add("a", RecordingService("a", []))
        with pytest.raises(LookupError, match="no service 'x'; known are a"):
            kernel.get("x")
        with pytest.raises(ValueError, match="'a' is already registered"):
            kernel.add("a", RecordingService("a", []))


class TestAddressInUse:
    def test_daemon_logs_which_address_is_in_use(self, tmp_path):
        assert EXIT_NOT_STARTED == ExitCode.NOT_STARTED
        with LocalMesh(tmp_path) as mesh:
            first = mesh.start_daemon("first", "osu")
            mesh.wait_until_listening()
            second = mesh.start_daemon("second", "osu", addresses=first.addresses)
            assert second.process.wait() == ExitCode.NOT_STARTED
            log = second.process.log_path.read_text()
        assert "E103 daemon can't start" in log
        assert first.addresses.peer in log
        assert "Traceback" not in log
