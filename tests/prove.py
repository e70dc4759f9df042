"""Mutation tests for the proofs in docs/PROOFS.md: `python -m tests.prove`.

Each row removes one mechanism from a copy of the source and runs the tests that must
then fail. A row passes if they fail; that they pass with the mechanism in place is
checked by `make test`. The resulting table is kept in docs/PROOFS.md.
"""

import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Final

from tests import prove_workflow
from tests.prove_row import Mutant

ROOT: Final = Path(__file__).parent.parent
MAX_PARALLEL_RUNS: Final = 4
TEST_TIMEOUT_S: Final = 300


MUTANTS: Final = (
    Mutant(
        guarantee="1 capacity",
        mechanism="admission check before a reservation",
        file="inventory.py",
        text="if task in worker.tasks or not needs.fits_in(worker.free):",
        replacement="if task in worker.tasks:",
        test="tests/test_placement.py",
    ),
    Mutant(
        guarantee="1 capacity",
        mechanism="a new owner's accounting of the tasks that it finds running",
        file="shard.py",
        text="self.inventory.adopt(record.worker, task, job.spec.needs)",
        replacement="pass",
        test="tests/test_placement.py",
    ),
    Mutant(
        guarantee="1 capacity",
        mechanism="reserving the larger of declared and reported resources",
        file="inventory.py",
        text="self._set_allocation(worker, task, declared.elementwise_max(used))",
        replacement="self._set_allocation(worker, task, used)",
        test="tests/test_placement.py",
    ),
    Mutant(
        guarantee="2 one place",
        mechanism="counting the ownership lease from before the write is sent",
        file="lease.py",
        text="self._valid_until = self._pending_since + owner.lease_s",
        replacement="self._valid_until = self.clock.now() + owner.lease_s",
        test="tests/test_lease.py",
    ),
    Mutant(
        guarantee="2 one place",
        mechanism="the candidate's wait until the holder's lease has expired",
        file="lease.py",
        text="return self.clock.now() - self._observed_at > owner.lease_s + margin",
        replacement="return self.clock.now() - self._observed_at > owner.lease_s / 2",
        test="tests/test_lease.py",
    ),
    Mutant(
        guarantee="2 one place",
        mechanism="the margin for clock drift",
        file="lease.py",
        text="MAX_CLOCK_DRIFT: Final = 0.01",
        replacement="MAX_CLOCK_DRIFT: Final = 0.0",
        test="tests/test_lease.py",
    ),
    Mutant(
        guarantee="2 one place",
        mechanism="the version check on the lease row",
        file="lease.py",
        text="checks=(Check(key=self.key, version=version), *changes.checks),",
        replacement="checks=changes.checks,",
        test="tests/test_lease.py",
    ),
    Mutant(
        guarantee="2 one place",
        mechanism="the clock check before orders are sent",
        file="lease.py",
        text="return self.clock.now() < self.valid_until()",
        replacement="return self._held is not None",
        test="tests/test_lease.py",
    ),
    Mutant(
        guarantee="2 one place",
        mechanism="a worker's own expiry of its task leases",
        file="standins/worker.py",
        text="if now >= running.lease_ends_at:",
        replacement="if False:",
        test="tests/test_link.py",
    ),
    Mutant(
        guarantee="2 one place",
        mechanism="waiting until a silent worker's leases have expired",
        file="link.py",
        text="if now > self.keep_until:",
        replacement="if True:",
        test="tests/test_link.py",
    ),
    Mutant(
        guarantee="2 one place",
        mechanism="the successor's wait for leases that a silent owner may still renew",
        file="link.py",
        text="    if not silent:\n",
        replacement="    if True:\n",
        test="tests/test_link.py",
    ),
    Mutant(
        guarantee="2 one place",
        mechanism="the limit on renewals by an owner whose lease has lapsed",
        file="link.py",
        text="if lapsed_s < self.times.release_after_s:",
        replacement="if True:",
        test="tests/test_link.py",
    ),
    Mutant(
        guarantee="2 one place",
        mechanism="sending starts only while the ownership lease is valid",
        file="link.py",
        text="starts = start_orders(self.shard, name) if owns else ()",
        replacement="starts = start_orders(self.shard, name)",
        test="tests/test_link.py",
    ),
    Mutant(
        guarantee="2 one place",
        mechanism="the order's deadline by the worker's clock",
        file="standins/worker.py",
        text="late = self.clock.now() > order.not_after",
        replacement="late = False",
        test="tests/test_link.py",
    ),
    Mutant(
        guarantee="2 one place",
        mechanism="fencing by epoch",
        file="standins/worker.py",
        text="if order.epoch < self.epoch:",
        replacement="if False:",
        test="tests/test_link.py",
    ),
    Mutant(
        guarantee="2 one place",
        mechanism="no messages to a silent worker (they would renew its leases)",
        file="link.py",
        text='            self._incarnation = ""\n\n    def _handle_error',
        replacement="            pass\n\n    def _handle_error",
        test="tests/test_link.py",
    ),
    Mutant(
        guarantee="2 one place",
        mechanism="detecting that the owner's write was stored after a lost reply",
        file="lease.py",
        text="if owner is not None and owner == self._pending:",
        replacement="if False:",
        test="tests/test_lease.py",
    ),
    Mutant(
        guarantee="3 whole answers",
        mechanism="reading the whole response body before a connection is reused",
        file="forward.py",
        text="body = await read_response(res, max_bytes=MAX_RESPONSE_BYTES)",
        replacement="body = b''",
        test="tests/test_gateway.py",
    ),
    Mutant(
        guarantee="3 whole answers",
        mechanism="releasing the concurrency slot when the caller has disconnected",
        file="gateway.py",
        text="            controller.release_slot(state)\n        return outcome, url",
        replacement="            pass\n        return outcome, url",
        test="tests/test_gateway.py",
    ),
    Mutant(
        guarantee="4 not run",
        mechanism="distinguishing a lost response from a refused connection",
        file="forward.py",
        text='return Unknown(reason=f"no whole answer: {type(exc).__name__}")',
        replacement='return NotRun(reason="broken")',
        test="tests/test_gateway.py",
    ),
    Mutant(
        guarantee="4 not run",
        mechanism="distinguishing a timeout from work that did not start",
        file="forward.py",
        text='return Unknown(reason="no whole answer within the time allowed")',
        replacement='return NotRun(reason="late")',
        test="tests/test_gateway.py",
    ),
    Mutant(
        guarantee="5 at most once",
        mechanism="no retry of a request with an unknown outcome",
        file="gateway.py",
        text="if isinstance(last, Unknown) and not req.repeatable:",
        replacement="if False:",
        test="tests/test_gateway.py",
    ),
    Mutant(
        guarantee="5 at most once",
        mechanism="the version check on the claim's row",
        file="claims.py",
        text="check=Check(key=key, version=version),",
        replacement="check=Check(key=key + 'x', version=ABSENT),",
        test="tests/test_writes.py",
    ),
    Mutant(
        guarantee="5 at most once",
        mechanism="claiming a request before it is sent",
        file="gateway.py",
        text="        if key is None:\n",
        replacement="        if True:\n",
        test="tests/test_failures.py::test_gateway_dies_with_a_claimed_request",
    ),
    Mutant(
        guarantee="5 at most once",
        mechanism="the request fingerprint",
        file="claims.py",
        text="if held.fingerprint != row.fingerprint:",
        replacement="if False:",
        test="tests/test_writes.py",
    ),
    Mutant(
        guarantee="5 at most once",
        mechanism="detecting that a claim was stored after a lost reply",
        file="writer.py",
        text="if row is not None and row.value == change.put.value:",
        replacement="if False:",
        test="tests/test_writes.py",
    ),
    Mutant(
        guarantee="5 at most once",
        mechanism="the time limit on waiting for a claim",
        file="gateway.py",
        text="async with asyncio.timeout(min(wait_s, CLAIM_TIMEOUT_S)):",
        replacement="async with asyncio.timeout(None):",
        test="tests/test_gateway.py",
    ),
    Mutant(
        guarantee="overload",
        mechanism="back-off after the table did not answer",
        file="writer.py",
        text="if self.clock.now() - self._failed_at < FAILURE_BACKOFF_S:",
        replacement="if False:",
        test="tests/test_writes.py",
    ),
    Mutant(
        guarantee="7 shutdown",
        mechanism="finishing the current round before the handover",
        file="scheduler.py",
        text="await asyncio.wait([self._owner_task], timeout=ROUND_DRAIN_TIMEOUT_S)",
        replacement="pass",
        test="tests/test_scheduler.py",
    ),
    Mutant(
        guarantee="clients",
        mechanism="a limit for the bytes of a head",
        file="bounded_protocol.py",
        text="            if self._head_bytes > self._limits.max_head_bytes:",
        replacement="            if False:",
        test="tests/test_connection_limits.py",
    ),
    Mutant(
        guarantee="clients",
        mechanism="a limit for trailers and chunk extensions",
        file="bounded_protocol.py",
        text="        if self._framing_bytes > self._limits.max_head_bytes:",
        replacement="        if False:",
        test="tests/test_connection_limits.py",
    ),
    Mutant(
        guarantee="clients",
        mechanism="a limit for the fields of a head",
        file="bounded_protocol.py",
        text="        if len(self.headers) >= self._limits.max_fields:",
        replacement="        if False:",
        test="tests/test_connection_limits.py",
    ),
    Mutant(
        guarantee="clients",
        mechanism="parsing no request before the answer to the last one",
        file="bounded_protocol.py",
        text="                if self._is_in_progress() or self._is_answer_unread():",
        replacement="                if False:",
        test="tests/test_connection_limits.py",
    ),
    Mutant(
        guarantee="clients",
        mechanism="telling the handler of a refused request that its client is gone",
        file="bounded_protocol.py",
        text="        self._cancel_request()\n        if self._is_answer_unread() or (",
        replacement="        if self._is_answer_unread() or (",
        test="tests/test_connection_limits.py",
    ),
    Mutant(
        guarantee="clients",
        mechanism="serving the body behind a request to change the protocol",
        file="bounded_protocol.py",
        text="        if self.parser.should_upgrade() and self._has_body():",
        replacement="        if False:",
        test="tests/test_connection_limits.py",
    ),
    Mutant(
        guarantee="clients",
        mechanism="a limit for the bytes that all connections hold",
        file="connection_budget.py",
        text="        while more > 0 and self.held_bytes > self.limits.max_held_bytes:",
        replacement="        while False:",
        test="tests/test_connection_limits.py",
    ),
    Mutant(
        guarantee="clients",
        mechanism="a limit for the connections of one address",
        file="connection_budget.py",
        text="        if self._numbers[address] >= limits.max_address_connections:",
        replacement="        if False:",
        test="tests/test_connection_limits.py",
    ),
    Mutant(
        guarantee="clients",
        mechanism="closing connections that wait too long",
        file="connection_budget.py",
        text="                    if now - since < limit_s:",
        replacement="                    if True:",
        test="tests/test_connection_limits.py",
    ),
    Mutant(
        guarantee="clients",
        mechanism="handling no request whose body breaks off",
        file="asgi.py",
        text="            raise ClientDisconnected",
        replacement="            return bytes(body)",
        test="tests/test_asgi.py",
    ),
    Mutant(
        guarantee="8 configuration",
        mechanism="skipping a change that cannot be decoded",
        file="scheduler.py",
        text="        except errors.FindingsError as exc:\n            if row.key",
        replacement="        except ZeroDivisionError as exc:\n            if row.key",
        test="tests/test_scheduler.py",
    ),
    Mutant(
        guarantee="6 leaving",
        mechanism="an endpoint's own leaving notice",
        file="gateway.py",
        text="            self.catalog.mark_leaving((state.endpoint.url,))",
        replacement="            pass",
        test="tests/test_gateway.py",
    ),
    Mutant(
        guarantee="6 leaving",
        mechanism="leaving notices from peers",
        file="gateway.py",
        text="        self.catalog.mark_leaving(reply.digest.leaving)",
        replacement="        pass",
        test="tests/test_gateway.py",
    ),
    Mutant(
        guarantee="6 leaving",
        mechanism="keeping a leaving mark once it is set",
        file="endpoints.py",
        text="known.leaving = known.leaving or endpoint.leaving",
        replacement="known.leaving = endpoint.leaving",
        test="tests/test_gateway.py",
    ),
    Mutant(
        guarantee="6 leaving",
        mechanism="a worker's leaving notice to its owner",
        file="link.py",
        text="        if reply.state is HostState.LEAVING:",
        replacement="        if False:",
        test="tests/test_failures.py::test_leaving_worker",
    ),
    Mutant(
        guarantee="7 shutdown",
        mechanism="finishing requests in flight at shutdown",
        file="http_server.py",
        text="await asyncio.wait([self._task], timeout=SHUTDOWN_TIMEOUT_S + 1)",
        replacement="await self.kill()",
        test="tests/test_failures.py::test_graceful_shutdown",
    ),
    Mutant(
        guarantee="8 configuration",
        mechanism="keeping the highest configuration version",
        file="watcher.py",
        text="if document is None or document.version <= self.version:",
        replacement="if document is None:",
        test="tests/test_writes.py",
    ),
    Mutant(
        guarantee="8 configuration",
        mechanism="the check of the version that a change is based on",
        file="watcher.py",
        text="if theirs != made_from:",
        replacement="if False:",
        test="tests/test_writes.py",
    ),
    Mutant(
        guarantee="8 configuration",
        mechanism="peers as a configuration source in an outage",
        file="gateway.py",
        text="if self.watcher.offer(reply.config):",
        replacement="if False:",
        test="tests/test_failures.py::test_platform_outage",
    ),
    Mutant(
        guarantee="1 capacity",
        mechanism="all-or-nothing placement of a gang",
        file="placement.py",
        text="if len(assignments) == len(request.tasks):",
        replacement="if assignments:",
        test="tests/test_placement.py",
    ),
    Mutant(
        guarantee="1 capacity",
        mechanism="the quota",
        file="rounds.py",
        text="if dominant_share(used, self.total_capacity) > team.quota:",
        replacement="if False:",
        test="tests/test_placement.py",
    ),
    Mutant(
        guarantee="decisions",
        mechanism="the reservation for a gang that has waited",
        file="rounds.py",
        text="self.inventory.workers[name].reserved_until = chosen[-1][0]",
        replacement="pass",
        test="tests/test_decisions.py",
    ),
    Mutant(
        guarantee="decisions",
        mechanism="preemption for urgent work",
        file="rounds.py",
        text="            return self._preempt(request, missing, now)",
        replacement="            return ()",
        test="tests/test_decisions.py",
    ),
    Mutant(
        guarantee="decisions",
        mechanism="relieving a worker whose reported use exceeds its capacity",
        file="rounds.py",
        text="preemptions = list(self._relieve_overcommitted(now))",
        replacement="preemptions: list[Preemption] = []",
        test="tests/test_decisions.py",
    ),
    Mutant(
        guarantee="decisions",
        mechanism="quarantine of a worker on which every task fails",
        file="inventory.py",
        text="            worker.state = WorkerState.QUARANTINED",
        replacement="            pass",
        test="tests/test_decisions.py",
    ),
    Mutant(
        guarantee="decisions",
        mechanism="probing a quarantined worker",
        file="inventory.py",
        text="        elif now >= worker.probe_at:",
        replacement="        elif False:",
        test="tests/test_decisions.py",
    ),
    Mutant(
        guarantee="decisions",
        mechanism="learning run times and sizes",
        file="history.py",
        text='_NUMBERS: Final = re.compile(r"(-\\d+)+$")',
        replacement='_NUMBERS: Final = re.compile(r"(never)$")',
        test="tests/test_decisions.py",
    ),
    Mutant(
        guarantee="overload",
        mechanism="the retry budget",
        file="retry.py",
        text="if self.saved < 1.0:",
        replacement="if False:",
        test="tests/test_gateway.py",
    ),
    Mutant(
        guarantee="faults",
        mechanism="counting an attempt lost with its worker soon after its start",
        file="attempt_losses.py",
        text="        record.crashes += 1\n",
        replacement="",
        test="tests/test_link.py",
    ),
    Mutant(
        guarantee="decisions",
        mechanism="counting a lost attempt of a shard only if its start was sent",
        file="shard.py",
        text="self.active[task].ordered and self.losses.record_loss(",
        replacement="self.losses.record_loss(",
        test="tests/test_shard_losses.py",
    ),
    Mutant(
        guarantee="decisions",
        mechanism="measuring an attempt of a shard until its worker last answered",
        file="shard.py",
        text="self.losses.heard_at(worker) - active.since",
        replacement="self.now() - active.since",
        test="tests/test_shard_losses.py",
    ),
    Mutant(
        guarantee="decisions",
        mechanism="storing that an attempt of a shard ran for a while",
        file="shard.py",
        text="if self.losses.attempt_survived(job, self.record(task)):",
        replacement="if False:",
        test="tests/test_shard_losses.py",
    ),
    Mutant(
        guarantee="decisions",
        mechanism="clearing losses of a shard's worker that answers again",
        file="attempt_losses.py",
        text="if held.clear(_worker_id(name, incarnation)):",
        replacement="if False:",
        test="tests/test_shard_losses.py",
    ),
    Mutant(
        guarantee="decisions",
        mechanism="the common cause of a shard's workers that fail at the same moment",
        file="attempt_losses.py",
        text="return others >= MIN_COMMON_CAUSE_FAILURES or any(",
        replacement="return False and any(",
        test="tests/test_shard_losses.py",
    ),
    Mutant(
        guarantee="overload",
        mechanism="the limit on the share of ejected endpoints",
        file="endpoints.py",
        text="return ejected + 1 <= cfg.eject_most * len(everyone)",
        replacement="return True",
        test="tests/test_gateway.py",
    ),
    Mutant(
        guarantee="overload",
        mechanism="rejecting at once a request that would be served too late",
        file="admission.py",
        text="if expected > wait_s or not self._ensure_queue_space(rank):",
        replacement="if not self._ensure_queue_space(rank):",
        test="tests/test_gateway.py",
    ),
)


def is_detected(mutant: Mutant) -> bool:
    """Return whether the tests fail without the mechanism.

    Raises:
        ValueError: The text to replace does not occur exactly once in the module.
    """
    with tempfile.TemporaryDirectory() as directory:
        for name in ("cranberrycleat", "tests"):
            shutil.copytree(ROOT / name, Path(directory) / name, symlinks=True)
        shutil.copy(ROOT / "pyproject.toml", directory)
        module = Path(directory) / "cranberrycleat" / mutant.file
        code = module.read_text()
        if code.count(mutant.text) != 1:
            raise ValueError(
                f"{mutant.file}: found {code.count(mutant.text)} occurrences of "
                f"{mutant.text!r} instead of one"
            )
        module.write_text(code.replace(mutant.text, mutant.replacement))
        completed = subprocess.run(
            [sys.executable, "-m", "pytest", "-x", mutant.test],
            cwd=directory,
            capture_output=True,
            timeout=TEST_TIMEOUT_S,
        )
    return completed.returncode == 1


def main() -> int:
    """Run all rows and print the table; return the number of rows that do not pass.

    With the argument `workflow`, only the rows of `prove_workflow` are run.
    """
    selected: tuple[Mutant, ...] = prove_workflow.MUTANTS
    if sys.argv[1:] != ["workflow"]:
        selected = (*MUTANTS, *selected)
    with ThreadPoolExecutor(max_workers=MAX_PARALLEL_RUNS) as pool:
        detected = list(pool.map(is_detected, selected))
    for mutant, passed in zip(selected, detected, strict=True):
        verdict = "fails without" if passed else "NOT NOTICED"
        print(
            f"| {mutant.guarantee} | {mutant.mechanism} | {mutant.test} | {verdict} |",
            flush=True,
        )
    return detected.count(False)


if __name__ == "__main__":
    sys.exit(main())
