"""Job front end: answers to callers while the owner or the table does not respond."""

import asyncio
from typing import cast

import pytest

from cranberrycleat import errors
from cranberrycleat.table import Row
from cranberrycleat.workflow.job_frontend import RequestStatus
from cranberrycleat.workflow.owner import Owner
from cranberrycleat.workflow.peering import JobReply, SubmitReply, SubmitRequest
from tests.cell import Cell, cell, job, queue, step, until
from tests.fakes import run_async


def state(owner: Owner, job_id: str) -> str:
    """Return the job state reported to callers."""
    return owner.state(job_id).state


async def _lost_reply(made: Cell) -> None:
    made.table.faults.lose_replies = 1


async def _slow_table(made: Cell) -> None:
    made.table.faults.slow_s = 0.3


@pytest.mark.parametrize("fault", [_lost_reply, _slow_table])
def test_submit_survives_table_fault(fault) -> None:  # type: ignore[no-untyped-def]
    """A lost reply or a slow table must not leave the caller without an answer."""

    async def run() -> None:
        async with cell() as made:
            owner = await made.own()
            job_frontend = made.job_frontend(lambda: owner)
            await fault(made)
            answer = await job_frontend.submit(queue(), "d", job(step(1)), limit_s=3.0)
            assert answer.status is RequestStatus.DONE

    run_async(run())


def test_submit_without_owner_writes_to_inbox() -> None:
    """The next owner runs the job from the inbox; a repeated submission is one job."""

    async def run() -> None:
        async with cell() as made:
            job_frontend = made.job_frontend(lambda: None)
            for _ in range(2):
                answer = await job_frontend.submit(
                    queue(), "d", job(step(2)), limit_s=3.0
                )
                assert answer.status is RequestStatus.DONE
            assert (await job_frontend.state("d")).state == "queued"
            owner = await made.own()
            await until(lambda: state(owner, "d") == "completed")
            assert len(made.fleet.starts) == 2

    run_async(run())


def test_submit_on_isolated_host_is_refused_immediately() -> None:
    """Nothing was sent, so the job never runs and the caller can use another host."""

    async def run() -> None:
        async with cell() as made:
            job_frontend = made.job_frontend(lambda: None, in_contact=lambda: False)
            answer = await job_frontend.submit(queue(), "d", job(step(1)), limit_s=3.0)
            assert answer.status is RequestStatus.REFUSED
            assert not [key for key in made.table.rows if key.startswith("inbox/")]

    run_async(run())


def test_possibly_stored_job_is_never_refused() -> None:
    """If all replies to commits are lost, the answer is 'unknown'."""

    async def run() -> None:
        async with cell() as made:
            owner = await made.own()
            job_frontend = made.job_frontend(lambda: owner)
            made.table.faults.lose_replies = 1000
            answer = await job_frontend.submit(queue(), "d", job(step(1)), limit_s=0.6)
            assert answer.status is RequestStatus.UNKNOWN

    run_async(run())


class _UnresponsiveOwner:
    """An owner that accepts a job and never answers, like one that just died."""

    async def submit(self, req: SubmitRequest) -> SubmitReply:
        """Block for longer than any caller waits."""
        await asyncio.sleep(60)
        return SubmitReply()

    def state(self, job_id: str) -> JobReply:
        """Return that no job is known."""
        return JobReply(owner=True)


def test_unresponsive_owner_does_not_delay_submit() -> None:
    """The job is also written to the inbox, where the next owner finds it."""

    async def run() -> None:
        async with cell() as made:
            job_frontend = made.job_frontend(lambda: cast(Owner, _UnresponsiveOwner()))
            asked = job_frontend.submit(queue(), "d", job(step(1)), limit_s=3.0)
            answer = await asyncio.wait_for(asked, timeout=10.0)
            assert answer.status is RequestStatus.DONE
            owner = await made.own()
            await until(lambda: state(owner, "d") == "completed")

    run_async(run())


def test_submit_returns_promptly_when_host_becomes_isolated() -> None:
    """The caller must not be blocked while a write to the inbox is retried."""

    async def run() -> None:
        async with cell() as made:
            contact = [True]
            job_frontend = made.job_frontend(
                lambda: None, in_contact=lambda: contact[0]
            )
            made.table.faults.slow_s = 30.0
            asked = asyncio.create_task(
                job_frontend.submit(queue(), "d", job(step(1)), limit_s=60.0)
            )
            await asyncio.sleep(0.2)
            contact[0] = False
            answer = await asyncio.wait_for(asked, timeout=10.0)
            assert answer.status is RequestStatus.UNKNOWN

    run_async(run())


# Guards against a false refusal: the first attempt may have stored the job before the
# owner asked next learned that the caller's key was revoked.
def test_possibly_stored_job_is_never_denied() -> None:
    async def run() -> None:
        async with cell() as made:

            class Denies:
                tries = 0

                async def submit(self, req: SubmitRequest) -> SubmitReply:
                    """Leave the first attempt undecided and deny the next."""
                    self.tries += 1
                    if self.tries == 1:
                        return SubmitReply()
                    return SubmitReply(denied=True, reason="the key was taken away")

            job_frontend = made.job_frontend(lambda: cast(Owner, denies))
            denies = Denies()
            answer = await job_frontend.submit(queue(), "d", job(step(1)), limit_s=1.0)
            assert answer.status is RequestStatus.UNKNOWN and denies.tries > 1

    run_async(run())


class _UnavailableTable:
    """A table that does not answer reads."""

    async def read(self, *, keys: tuple[str, ...]) -> tuple[Row, ...]:
        """Fail as an unreachable table does."""
        raise errors.TableUnavailable("down")


class _UnknownRowFormat:
    """A table whose rows have an unknown format."""

    async def read(self, *, keys: tuple[str, ...]) -> tuple[Row, ...]:
        """Return rows of an unknown format."""
        return tuple(Row(key=key, version=1, value="[]") for key in keys)


# Guards against an unhandled error in a submission whose job ID is already in the inbox
# while the owning workspace of that row cannot be read.
@pytest.mark.parametrize("store", [_UnavailableTable(), _UnknownRowFormat()])
def test_repeated_submit_with_unreadable_inbox_row_is_answered(store: object) -> None:
    async def run() -> None:
        async with cell() as made:
            first = made.job_frontend(lambda: None)
            answer = await first.submit(queue(), "d", job(step(1)), limit_s=3.0)
            assert answer.status is RequestStatus.DONE
            repeat = made.job_frontend(lambda: None, store=store)
            answer = await repeat.submit(queue(), "d", job(step(1)), limit_s=0.6)
            assert answer.status is RequestStatus.UNKNOWN

    run_async(run())
