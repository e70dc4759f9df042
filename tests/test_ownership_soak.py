"""Short runs of the soak of hosts that compete to own (see `tests.ownership_soak`)."""

import asyncio

import pytest

from tests import ownership_soak

SECONDS = 10.0


# Guards against accepted jobs that wait for good (LOST) because the owner's row names a
# process that does not act; each of these seeds has shown such findings.
@pytest.mark.parametrize("seed", [1, 4])
def test_no_job_waits_while_a_host_and_the_store_are_there(seed: int) -> None:
    assert asyncio.run(ownership_soak.run_seed(seed, SECONDS, None)) == []
