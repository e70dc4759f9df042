"""Short runs of the fault soak over connections (see `tests.connection_soak`)."""

import asyncio

import pytest

from tests import connection_soak

SECONDS = 5.0


# Guards against accepted tasks that never run (LOST) because connections of hosts that
# were cut off or lost power fill a worker; each of these seeds has shown such findings.
@pytest.mark.parametrize("seed", [3, 10, 46])
def test_no_worker_runs_out_of_connections_under_faults(seed: int) -> None:
    assert asyncio.run(connection_soak.run_seed(seed, SECONDS, None)) == []
