"""Starts the real programs as processes on loopback and injects faults into them."""

import os
import re
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from types import TracebackType
from typing import Final

import attrs

LISTENING_PATTERN: Final = re.compile(r"listening on (http://\S+)")
WAIT_TIMEOUT_S: Final = 30.0
POLL_INTERVAL_S: Final = 0.05


@attrs.define(kw_only=True, eq=False)
class ProgramProcess:
    """A running program."""

    process: "subprocess.Popen[str]"
    url: str

    def suspend(self) -> None:
        """Suspend the process (SIGSTOP), as on an overloaded host."""
        self.process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the suspended process (SIGCONT)."""
        self.process.send_signal(signal.SIGCONT)

    def send_sighup(self) -> None:
        """Send SIGHUP: the settings may have changed."""
        self.process.send_signal(signal.SIGHUP)

    def kill(self) -> None:
        """Kill the process (SIGKILL) and wait for its end."""
        self.process.kill()
        self.process.wait()

    def terminate(self) -> int:
        """Request a graceful shutdown (SIGTERM) and return the exit code."""
        self.process.terminate()
        return self.process.wait(timeout=WAIT_TIMEOUT_S)


@attrs.define(kw_only=True, eq=False)
class Fleet:
    """The programs that a test started; all are killed when the test ends."""

    programs: list[ProgramProcess] = attrs.field(factory=list)

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for program in self.programs:
            program.resume()
            program.process.kill()
            program.process.wait()

    def start(self, *args: str) -> ProgramProcess:
        """Start a daemon and wait until it prints the URL it listens on."""
        process = subprocess.Popen(
            [sys.executable, "-m", "cranberrycleat", *args],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
            env={"PATH": os.environ["PATH"]},
        )
        assert process.stdout is not None
        line = process.stdout.readline()
        match = LISTENING_PATTERN.search(line)
        assert match, f"{args}: {line!r}"
        program = ProgramProcess(process=process, url=match.group(1))
        self.programs.append(program)
        return program

    def platform(self) -> ProgramProcess:
        """Start the platform stand-in."""
        return self.start("standin", "platform")

    def worker(
        self, name: str, platform: ProgramProcess, *extra_args: str
    ) -> ProgramProcess:
        """Start a worker stand-in of data centre `dc-a`."""
        args = ["--name", name, "--data-centre", "dc-a", "--rack", "r1"]
        args += ["--platform", platform.url, "--labels", "tier=live", *extra_args]
        return self.start("standin", "worker", *args)

    def scheduler(
        self, name: str, platform: ProgramProcess, *extra_args: str
    ) -> ProgramProcess:
        """Start a scheduler of data centre `dc-a` with short leases and intervals."""
        args = ["--name", name, "--data-centre", "dc-a", "--platform", platform.url]
        args += ["--lease-s", "1.0", "--worker-lease-s", "3.0", "--sync-s", "0.2"]
        args += ["--order-s", "0.5", "--round-s", "0.1", "--release-after-s", "0.5"]
        args += ["--drain-s", "0.2", "--leave-s", "0.5", "--config-poll-s", "0.2"]
        return self.start(
            "scheduler", *args, "--platform-timeout-s", "0.5", *extra_args
        )

    def gateway(
        self, name: str, platform: ProgramProcess, *peers: ProgramProcess
    ) -> ProgramProcess:
        """Start a gateway of data centre `dc-a` with short intervals."""
        args = ["--name", name, "--data-centre", "dc-a", "--platform", platform.url]
        args += ["--peers", ",".join(peer.url for peer in peers)]
        args += ["--digest-s", "0.1", "--config-poll-s", "0.2", "--drain-s", "0.5"]
        return self.start("gateway", *args, "--platform-timeout-s", "0.5")


def run_command(*args: str, scheduler: str = "") -> "subprocess.CompletedProcess[str]":
    """Run an operator command and wait for its end."""
    env = {"PATH": os.environ["PATH"], "CRANBERRYCLEAT_SCHEDULER": scheduler}
    return subprocess.run(
        [sys.executable, "-m", "cranberrycleat", *args],
        capture_output=True,
        text=True,
        env=env,
        timeout=WAIT_TIMEOUT_S * 2,
    )


def wait_until(condition: Callable[[], bool], *, description: str) -> None:
    """Poll until a condition holds; fail the test if it does not in time."""
    end = time.monotonic() + WAIT_TIMEOUT_S
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(POLL_INTERVAL_S)
    raise AssertionError(f"condition not met in time: {description}")
