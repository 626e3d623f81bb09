"""A process of the fleet: started, paused and ended by its id."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import sys
from typing import Any, final

START_TIMEOUT_SECONDS = 30.0
STOP_TIMEOUT_SECONDS = 30.0


class FleetError(Exception):
    """A process of the fleet did not do what a test needs."""


@final
class FleetProcess:
    """One Python module that runs as a process of its own.

    It prints one JSON line with its addresses once it listens; what it
    writes to standard error goes to a file.

    Attributes:
        name: name in messages and of the log file.
        addresses: members of the JSON line.
        log_path: file of its standard error.
    """

    def __init__(
        self,
        name: str,
        module: str,
        *,
        arguments: tuple[str, ...] = (),
        environment: dict[str, str] | None = None,
        directory: pathlib.Path,
    ) -> None:
        self.name = name
        self.command = (sys.executable, "-m", module, *arguments)
        self.environment = environment or {}
        self.log_path = directory / f"{name}.log"
        self.addresses: dict[str, str] = {}
        self.process: asyncio.subprocess.Process | None = None

    @property
    def pid(self) -> int:
        """Returns the process id."""
        return self._started().pid

    @property
    def exit_code(self) -> int | None:
        """Returns how the process ended, None while it lives."""
        return self._started().returncode

    async def start(self) -> None:
        """Starts the process and waits until it listens.

        Raises:
            FleetError: it ended, or said nothing in time.
        """
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.command,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                env=os.environ | self.environment,
            )
        self.addresses = await self._read_addresses()

    async def _read_addresses(self) -> dict[str, str]:
        output = self._started().stdout
        assert output is not None
        try:
            async with asyncio.timeout(START_TIMEOUT_SECONDS):
                line = await output.readline()
        except TimeoutError as error:
            raise FleetError(f"{self.name} does not listen") from error
        if not line:
            raise FleetError(f"{self.name} ended:\n{self.log_tail()}")
        members: dict[str, Any] = json.loads(line)
        return {name: str(value) for name, value in members.items()}

    def log_tail(self, size: int = 2_000) -> str:
        """Returns the end of what it wrote to standard error."""
        return self.log_path.read_text(errors="replace")[-size:]

    def send(self, number: signal.Signals) -> None:
        """Sends a signal, unless the process has ended."""
        with contextlib.suppress(ProcessLookupError):
            self._started().send_signal(number)

    def pause(self) -> None:
        """Stops the process without ending it."""
        self.send(signal.SIGSTOP)

    def resume(self) -> None:
        """Lets a paused process go on."""
        self.send(signal.SIGCONT)

    def terminate(self) -> None:
        """Asks the process to end."""
        self.send(signal.SIGTERM)

    async def kill(self) -> None:
        """Ends the process at once."""
        self.send(signal.SIGKILL)
        await self._started().wait()

    async def wait(self, seconds: float = STOP_TIMEOUT_SECONDS) -> int:
        """Waits for the end and returns the exit code.

        Raises:
            FleetError: the process lives on.
        """
        try:
            async with asyncio.timeout(seconds):
                return await self._started().wait()
        except TimeoutError as error:
            raise FleetError(f"{self.name} did not end") from error

    async def stop(self) -> None:
        """Asks the process to end, and kills it when it does not."""
        if self.process is None or self.process.returncode is not None:
            return
        self.resume()
        self.terminate()
        try:
            await self.wait()
        except FleetError:
            await self.kill()

    def _started(self) -> asyncio.subprocess.Process:
        if self.process is None:
            raise FleetError(f"{self.name} was not started")
        return self.process
