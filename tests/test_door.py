"""The door: what callers are told when owner or table do not answer."""

import asyncio
from typing import cast

import pytest

from cranberrycleat import errors
from cranberrycleat.table import Row
from cranberrycleat.workflow.door import DoorStatus
from cranberrycleat.workflow.owner import Owner
from cranberrycleat.workflow.peering import JobAnswer, SubmitReply, SubmitRequest
from tests.cell import Cell, cell, job, queue, step, until
from tests.fakes import go


def state(owner: Owner, job_id: str) -> str:
    """Return the state that callers are told."""
    return owner.state(job_id).state


async def _lost_reply(made: Cell) -> None:
    made.table.faults.lose_replies = 1


async def _slow(made: Cell) -> None:
    made.table.faults.slow_s = 0.3


@pytest.mark.parametrize("fault", [_lost_reply, _slow])
def test_a_door_settles_what_it_can(fault) -> None:  # type: ignore[no-untyped-def]
    """A lost reply or a slow table does not leave the caller without an answer."""

    async def run() -> None:
        async with cell() as made:
            owner = await made.own()
            door = made.door(lambda: owner)
            await fault(made)
            answer = await door.submit(queue(), "d", job(step(1)), limit_s=3.0)
            assert answer.status is DoorStatus.DONE

    go(run())


def test_a_door_without_owner_leaves_the_job_in_the_inbox() -> None:
    """The next owner finds it there; a repeat is the same job."""

    async def run() -> None:
        async with cell() as made:
            door = made.door(lambda: None)
            for _ in range(2):
                answer = await door.submit(queue(), "d", job(step(2)), limit_s=3.0)
                assert answer.status is DoorStatus.DONE
            assert (await door.state("d")).state == "queued"
            owner = await made.own()
            await until(lambda: state(owner, "d") == "completed")
            assert len(made.fleet.starts) == 2

    go(run())


def test_a_door_that_is_cut_off_refuses_at_once() -> None:
    """Nothing is sent, so the refusal is true, and the caller goes elsewhere."""

    async def run() -> None:
        async with cell() as made:
            door = made.door(lambda: None, in_contact=lambda: False)
            answer = await door.submit(queue(), "d", job(step(1)), limit_s=3.0)
            assert answer.status is DoorStatus.REFUSED
            assert not [key for key in made.table.rows if key.startswith("inbox/")]

    go(run())


def test_a_job_that_may_be_stored_is_never_refused() -> None:
    """With the table down after a commit left, the answer is 'unknown'."""

    async def run() -> None:
        async with cell() as made:
            owner = await made.own()
            door = made.door(lambda: owner)
            made.table.faults.lose_replies = 1000
            answer = await door.submit(queue(), "d", job(step(1)), limit_s=0.6)
            assert answer.status is DoorStatus.UNKNOWN

    go(run())


class _NeverAnswers:
    """An owner that took a job and gives no answer, as one that just died."""

    async def submit(self, req: SubmitRequest) -> SubmitReply:
        """Answer nothing for longer than any caller waits."""
        await asyncio.sleep(60)
        return SubmitReply()

    def state(self, job_id: str) -> JobAnswer:
        """Know nothing."""
        return JobAnswer(owner=True)


def test_a_dead_owner_does_not_cost_a_caller_its_time() -> None:
    """The job goes to the inbox beside, where the next owner finds it."""

    async def run() -> None:
        async with cell() as made:
            door = made.door(lambda: cast(Owner, _NeverAnswers()))
            asked = door.submit(queue(), "d", job(step(1)), limit_s=3.0)
            answer = await asyncio.wait_for(asked, timeout=10.0)
            assert answer.status is DoorStatus.DONE
            owner = await made.own()
            await until(lambda: state(owner, "d") == "completed")

    go(run())


def test_a_door_that_is_cut_off_meanwhile_answers_soon() -> None:
    """It does not hold a caller while a write to the inbox is tried again."""

    async def run() -> None:
        async with cell() as made:
            contact = [True]
            door = made.door(lambda: None, in_contact=lambda: contact[0])
            made.table.faults.slow_s = 30.0
            asked = asyncio.create_task(
                door.submit(queue(), "d", job(step(1)), limit_s=60.0)
            )
            await asyncio.sleep(0.2)
            contact[0] = False
            answer = await asyncio.wait_for(asked, timeout=10.0)
            assert answer.status is DoorStatus.UNKNOWN

    go(run())


# Guards against a refusal that is not true: a first try may have stored the job, and an
# owner that is asked next has heard that the caller's key is gone.
def test_a_job_that_may_be_stored_is_never_denied() -> None:
    async def run() -> None:
        async with cell() as made:

            class Denies:
                tries = 0

                async def submit(self, req: SubmitRequest) -> SubmitReply:
                    """Leave the first try unsettled, and deny the next."""
                    self.tries += 1
                    if self.tries == 1:
                        return SubmitReply()
                    return SubmitReply(denied=True, reason="the key was taken away")

            door = made.door(lambda: cast(Owner, denies))
            denies = Denies()
            answer = await door.submit(queue(), "d", job(step(1)), limit_s=1.0)
            assert answer.status is DoorStatus.UNKNOWN and denies.tries > 1

    go(run())


class _Unreadable:
    """A table that gives no answer to readers."""

    async def read(self, *, keys: tuple[str, ...]) -> tuple[Row, ...]:
        """Give no answer."""
        raise errors.TableUnavailable("down")


class _OfAnotherVersion:
    """A table whose rows nobody here can decode."""

    async def read(self, *, keys: tuple[str, ...]) -> tuple[Row, ...]:
        """Return rows of an unknown form."""
        return tuple(Row(key=key, version=1, value="[]") for key in keys)


# Guards against a submission that ends in an unhandled error: its identity stands in
# the inbox already, and whose it is cannot be read.
@pytest.mark.parametrize("store", [_Unreadable(), _OfAnotherVersion()])
def test_a_repeat_whose_row_cannot_be_read_is_answered(store: object) -> None:
    async def run() -> None:
        async with cell() as made:
            first = made.door(lambda: None)
            answer = await first.submit(queue(), "d", job(step(1)), limit_s=3.0)
            assert answer.status is DoorStatus.DONE
            repeat = made.door(lambda: None, store=store)
            answer = await repeat.submit(queue(), "d", job(step(1)), limit_s=0.6)
            assert answer.status is DoorStatus.UNKNOWN

    go(run())
