"""Two of three hosts are lost; the write with which the last one takes over is carried
out, but its answer is lost, as the platform's store falls silent for three seconds."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

import standin  # noqa: E402

SILENT_S = 3.0
CALM_S = 20.0
"""Rule LOST: 4 calm seconds, and 3 more in which nothing runs. This is far above it."""
STEPS = [{"count": 2, "cpu": 500, "mem_mb": 64, "estimate_ms": 500, "work_ms": 500}]


async def case(record, folder, trouble, nodes):
    world = standin.World(record)
    await world.start(workers=6)
    owner = await standin.start_nodes(world, folder, nodes, 3)
    caller = standin.Caller(world, nodes)

    async def shown(job_id):
        return (await caller.state(job_id))[1] == "completed"

    first = "00000000000000a1"
    if await caller.submit(first, STEPS) != 200:
        raise standin.CouldNotRun("the first job was not accepted")
    await standin.until(lambda: shown(first), 10.0, "the first job completed")

    silent_until = 0.0
    last = next(node for node in nodes if node is not owner)

    async def hook(path, query, body):
        nonlocal silent_until
        if record.now() < silent_until:
            await asyncio.sleep(60.0)
            raise standin.NoAnswer
        puts = [each["table"] for each in body.get("writes", [])]
        if "owner" not in puts or silent_until:
            return None

        async def no_answer():
            nonlocal silent_until
            silent_until = record.now() + SILENT_S
            record(
                "store-silent", for_s=SILENT_S, row=world.store.read("owner", "cell")
            )
            await asyncio.sleep(60.0)
            raise standin.NoAnswer

        return no_answer

    if trouble:
        for node in nodes:
            if node is not last:
                node.send(standin.signal.SIGKILL)
                node.process.wait()
        world.store.hook = hook
        await standin.until(lambda: silent_until, 10.0, "a takeover")
        await asyncio.sleep(SILENT_S + 0.5)
        record("store-answers", last=last.name)
        await standin.until(last.is_ready, 10.0, "the last host is ready")
    second = "00000000000000a2"
    status = await caller.submit(second, STEPS)
    if status != 200:
        raise standin.CouldNotRun(f"the second job was answered with {status}")
    began = record.now()
    while record.now() - began < CALM_S:
        if await shown(second):
            record("held", after_s=round(record.now() - began, 2))
            return standin.HELD
        await asyncio.sleep(1.0)
    runs = [each for _, each in record.of("start") if each["task"].startswith(second)]
    record("broken", rule="LOST", job=second, starts=len(runs), calm_s=CALM_S)
    record("owner-row", row=world.store.read("owner", "cell"))
    return standin.BROKEN if not runs else standin.COULD_NOT_RUN


if __name__ == "__main__":
    standin.main(case, HERE)
