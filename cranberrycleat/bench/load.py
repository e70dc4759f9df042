"""Open-loop load generator of `bench routing`, one process per gateway or baseline.

Requests are sent at random times with a fixed mean rate, independent of the answers.
"""

import asyncio
import random
import sys
from typing import Final

import attrs
import httpx

from cranberrycleat import codec
from cranberrycleat.http_calls import tls_context

CONNECTION_POOLS: Final = 32
REJECTION_STATUSES: Final = frozenset({429, 503, 504})


@attrs.frozen(kw_only=True)
class LoadPlan:
    """Parameters of one load generator process.

    Attributes:
        url: The gateway or baseline to call.
        rate: Mean arrivals per second.
        seconds: Duration.
        seed: The seed of the arrival times.
        timeout_s: Timeout of a request.
    """

    url: str
    rate: float
    seconds: float
    seed: int
    timeout_s: float = 1.0


@attrs.define(kw_only=True)
class LoadResult:
    """Results of one load generator process.

    Attributes:
        offered: Requests sent.
        good: Requests answered with status 200 within the timeout.
        good_in_time: Those of them that were answered before the phase ended.
        refused: Requests rejected with status 429, 503 or 504.
        bad: Requests with any other result.
        good_s: Latencies of the good answers in seconds.
        refused_s: Latencies of the rejections in seconds.
        no_retry_after: Rejections without a Retry-After header.
    """

    offered: int = 0
    good: int = 0
    good_in_time: int = 0
    refused: int = 0
    bad: int = 0
    good_s: list[float] = attrs.field(factory=list)
    refused_s: list[float] = attrs.field(factory=list)
    no_retry_after: int = 0


async def run_load(plan: LoadPlan) -> LoadResult:
    """Send requests at random times and return the results."""
    rng = random.Random(plan.seed)
    result = LoadResult()
    limits = httpx.Limits(max_connections=None, max_keepalive_connections=64)
    # Several small pools, because the time a pool takes per request grows with its
    # connections, and the load generator must not limit the measurement.
    pools = [
        httpx.AsyncHTTPTransport(limits=limits, verify=tls_context())
        for _ in range(CONNECTION_POOLS)
    ]
    loop = asyncio.get_running_loop()
    calls: set[asyncio.Task[None]] = set()
    next_at = loop.time()
    end = next_at + plan.seconds
    while next_at < end:
        await asyncio.sleep(max(0.0, next_at - loop.time()))
        call = asyncio.create_task(
            _one_call(pools[result.offered % CONNECTION_POOLS], plan, result, rng, end)
        )
        calls.add(call)
        call.add_done_callback(calls.discard)
        next_at += rng.expovariate(plan.rate)
    if calls:
        await asyncio.wait(calls)
    return result


async def _one_call(
    transport: httpx.AsyncHTTPTransport,
    plan: LoadPlan,
    result: LoadResult,
    rng: random.Random,
    end: float,
) -> None:
    result.offered += 1
    loop = asyncio.get_running_loop()
    headers = {
        "x-request-id": f"{rng.getrandbits(64):016x}",
        "x-timeout-ms": str(int(plan.timeout_s * 1000)),
    }
    sent = httpx.Request("GET", f"{plan.url}/call/s/x", headers=headers)
    began = loop.time()
    try:
        async with asyncio.timeout(plan.timeout_s + 0.05):
            res = await transport.handle_async_request(sent)
            await res.aread()
            await res.aclose()
    except (httpx.HTTPError, TimeoutError):
        result.bad += 1
        return
    took = loop.time() - began
    if res.status_code == 200:
        result.good += 1
        result.good_in_time += loop.time() <= end
        result.good_s.append(took)
    elif res.status_code in REJECTION_STATUSES:
        result.refused += 1
        result.refused_s.append(took)
        result.no_retry_after += "retry-after" not in res.headers
    else:
        result.bad += 1


if __name__ == "__main__":
    found = asyncio.run(run_load(codec.decode(sys.argv[2], LoadPlan)))
    sys.stdout.write(codec.encode_text(found))
