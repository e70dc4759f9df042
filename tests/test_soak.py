"""Short runs of the fault soak, by fixed seeds (see `tests.soak`)."""

import asyncio

import pytest

from tests import soak

SECONDS = 5.0


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_nothing_is_lost_or_done_twice_under_faults(seed: int) -> None:
    assert asyncio.run(soak.play(seed, SECONDS)) == []
