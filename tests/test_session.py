"""A complete session with real, separate processes, compared with a golden file.

`make golden` regenerates the golden files.
"""

import re
from pathlib import Path

import httpx
from syrupy.assertion import SnapshotAssertion

from tests.processes import Fleet, ProgramProcess, run_command, wait_until

WORKLOADS = """
[[job]]
name = "slot-check"
kind = "service"
tasks = 2
processors = 2.0
memory_mb = 2048
slots = 8
selector = "tier = live"
program = { command = "serve" }

[[job]]
name = "nightly-settlement"
kind = "batch"
tasks = 3
processors = 4.0
memory_mb = 6144
selector = "tier = live"
program = { command = "sleep", run_s = 0.3 }

[[job]]
name = "bay-roster-rebuild"
kind = "gang"
tasks = 2
processors = 8.0
memory_mb = 8192
program = { command = "sleep", run_s = 0.3 }

[[job]]
name = "too-large"
kind = "batch"
processors = 64.0
"""

INVALID_WORKLOADS = """
[[job]]
name = "Bad Name"
kind = "service"
tasks = 0
selector = "tier >= 3"

[[job]]
name = "typed-wrong"
kind = "sometimes"
tasks = "many"
colour = "red"
"""


class Transcript:
    """Requests and responses, with details that vary between runs masked."""

    def __init__(
        self, folder: Path, scheduler: ProgramProcess, gateway: ProgramProcess
    ) -> None:
        self.lines: list[str] = []
        self.folder = folder
        self.scheduler = scheduler
        self.gateway = gateway

    def command(self, *args: str) -> None:
        """Run an operator's command."""
        done = run_command(*args, scheduler=self.scheduler.url)
        self._add("$ cranberrycleat " + " ".join(args))
        for line in (done.stdout + done.stderr).splitlines():
            self._add(line)
        self._add(f"-> exit code {done.returncode}")

    def request(self, method: str, path: str, body: str = "", **more: str) -> None:
        """Send a caller's request through the gateway."""
        headers = {name.replace("_", "-"): value for name, value in more.items()}
        headers["x-request-id"] = "r" + str(len(self.lines))
        res = httpx.request(
            method,
            self.gateway.url + path,
            content=body,
            headers=headers,
            trust_env=False,
            timeout=30,
        )
        self._add(f"> {method} {path} {more} {body[:20]}")
        for name in ("x-outcome", "retry-after", "idempotency-replayed"):
            if name in res.headers:
                self._add(f"{name}: {res.headers[name]}")
        self._add(f"-> {res.status_code} {res.text}")

    def _add(self, line: str) -> None:
        line = line.replace(str(self.folder), "FOLDER")
        line = re.sub(r"http://127\.0\.0\.1:\d+", "URL", line)
        self.lines.append(line)

    def text(self) -> str:
        """Return the transcript."""
        return "\n".join(self.lines)


def test_session(tmp_path: Path, snapshot: SnapshotAssertion) -> None:
    """Operators and callers, valid and invalid input, from start to shutdown."""
    (tmp_path / "workloads.toml").write_text(WORKLOADS)
    (tmp_path / "faulty.toml").write_text(INVALID_WORKLOADS)
    (tmp_path / "good.toml").write_text("[routing]\nqueue_s = 0.5\n")
    (tmp_path / "bad.toml").write_text("[routing]\nqueue_s = -1\nretry_share = 7\n")
    with Fleet() as fleet:
        platform = fleet.platform()
        workers = [fleet.worker(f"w{n}", platform) for n in (1, 2)]
        scheduler = fleet.scheduler("s1", platform)
        gateway = fleet.gateway("g1", platform, scheduler)
        _wait_for_workers(scheduler, 2)
        script = Transcript(tmp_path, scheduler, gateway)
        _run_operator_commands(script, tmp_path)
        _send_caller_requests(script, gateway)
        _run_change_commands(script)
        for program in (platform, workers[0], scheduler, gateway):
            _record_dump_and_metrics(script, program)
        codes = [each.terminate() for each in (gateway, scheduler, *workers, platform)]
        script.lines.append(f"exit codes at shutdown: {codes}")
    assert script.text() == snapshot


def _record_dump_and_metrics(script: Transcript, program: ProgramProcess) -> None:
    """Every process serves its state and its metrics."""
    dump = httpx.get(program.url + "/v1/dump", trust_env=False).json()
    found = httpx.get(program.url + "/v1/metrics", trust_env=False).json()
    resource = found["resource_metrics"][0]["resource"]["attributes"]
    script.lines.append(f"dump: {sorted(dump)}")
    script.lines.append(f"metrics of: {sorted(resource.values())}")


def _wait_for_workers(scheduler: ProgramProcess, count: int) -> None:
    def live() -> bool:
        found = httpx.get(scheduler.url + "/v1/workers", trust_env=False).json()
        return [w["state"] for w in found["workers"]] == ["live"] * count

    wait_until(live, description=f"{count} live workers")


def _run_operator_commands(script: Transcript, folder: Path) -> None:
    script.command("job", "submit", str(folder / "faulty.toml"))
    script.command("job", "submit", str(folder / "missing.toml"))
    script.command("job", "submit", str(folder / "workloads.toml"))
    script.command("job", "submit", str(folder / "workloads.toml"))
    script.command("job", "status", "nightly-settlement", "--wait", "20")
    script.command("job", "status", "bay-roster-rebuild", "--wait", "20")
    script.command("job", "status", "too-large", "--wait", "20")
    script.command("job", "status", "nobody-knows")
    script.command("config", "check", str(folder / "bad.toml"))
    script.command("config", "apply", str(folder / "good.toml"))
    script.command("config", "apply", str(folder / "good.toml"), "--made-from", "0")
    script.command("config", "show")
    script.command("scheduler", "--port", "high", "--lease-s", "0")
    script.command("scheduler", "--colour", "red")


def _send_caller_requests(script: Transcript, gateway: ProgramProcess) -> None:
    def known() -> bool:
        dump = httpx.get(gateway.url + "/v1/dump", trust_env=False).json()
        return len(dump["services"].get("slot-check", [])) == 2

    wait_until(known, description="two endpoints at the gateway")
    script.request("GET", "/call/slot-check/bay/7?size=3")
    script.request("POST", "/call/slot-check/book", "bay 7", idempotency_key="k1")
    _wait_for_replay(gateway, "k1")
    script.request("POST", "/call/slot-check/book", "bay 7", idempotency_key="k1")
    script.request("POST", "/call/slot-check/book", "bay 8", idempotency_key="k1")
    script.request("GET", "/call/slot-check/", x_class="soon", x_timeout_ms="never")
    script.request("GET", "/call/unheard-of/")
    script.request("POST", "/call/slot-check/", "x" * (5 * 1024 * 1024))
    script.request("GET", "/call/slot-check/slow?ms=5000", x_timeout_ms="200")
    script.request("POST", "/call/slot-check/cut?truncate")


def _wait_for_replay(gateway: ProgramProcess, key: str) -> None:
    """Wait until repeats are replayed, so that the transcript has a single request."""

    def replayed() -> bool:
        res = httpx.post(
            gateway.url + "/call/slot-check/book",
            content="bay 7",
            headers={"idempotency-key": key},
            trust_env=False,
        )
        return "idempotency-replayed" in res.headers

    wait_until(replayed, description="a replayed answer")


def _run_change_commands(script: Transcript) -> None:
    script.command("worker", "label", "w1", "tier=dark", "disk=ssd")
    script.command("worker", "label", "w9", "tier=dark")
    script.command("worker", "label", "w1", "tier")
    script.command("job", "cancel", "slot-check")
    script.command("job", "status", "slot-check", "--wait", "20")
    script.command("worker", "list")
    script.command("status")
