"""A registry of named services that are started and stopped in order."""

from __future__ import annotations

import logging
from typing import Any, Protocol

logger = logging.getLogger(__name__)


class StartError(RuntimeError):
    """Report which service failed to start, and why."""

    def __init__(self, name: str, error: Exception) -> None:
        super().__init__(f"service {name!r} can't start: {error}")
        self.name = name


class KernelService(Protocol):
    """Define the life cycle methods that the kernel calls."""

    async def start(self) -> None: ...

    async def stop(self) -> None: ...


class Kernel:
    """Manage named services; start them in order of addition, stop in reverse."""

    def __init__(self) -> None:
        self._services: dict[str, Any] = {}
        self._started: list[str] = []

    def add(self, name: str, service: KernelService) -> None:
        """Register a service; raise ``ValueError`` if its name is in use."""
        if name in self._services:
            raise ValueError(f"service {name!r} is already registered")
        self._services[name] = service

    def get(self, name: str) -> Any:
        """Return the named service; raise ``LookupError`` if it is not registered."""
        try:
            return self._services[name]
        except KeyError:
            known = ", ".join(sorted(self._services))
            raise LookupError(f"no service {name!r}; known are {known}") from None

    async def start(self) -> None:
        """Start all services; after a failure, stop them and raise ``StartError``."""
        for name, service in self._services.items():
            try:
                await service.start()
            except Exception as error:
                await self.stop()
                raise StartError(name, error) from error
            self._started.append(name)

    async def stop(self) -> None:
        """Stop the started services in reverse order."""
        while self._started:
            name = self._started.pop()
            try:
                await self._services[name].stop()
            except Exception:
                logger.exception("service %s failed to stop", name)
