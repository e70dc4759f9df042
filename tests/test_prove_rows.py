"""Every row of the prover still names text that is there, and tests that are there."""

import re
from pathlib import Path

import pytest

from tests import prove, prove_workflow
from tests.prove_row import Row

ROWS = (*prove.ROWS, *prove_workflow.ROWS)


@pytest.mark.parametrize("row", ROWS, ids=[row.what for row in ROWS])
def test_a_row_applies(row: Row) -> None:
    """A row whose text is gone takes nothing out, and its tests pass."""
    source = (prove.ROOT / "cranberrycleat" / row.file).read_text()
    assert row.text in source and row.instead != row.text
    for test in row.test.split():
        path, _, name = test.partition("::")
        found = (prove.ROOT / Path(path)).read_text()
        wanted = name.partition("[")[0]
        assert not wanted or re.search(rf"def {re.escape(wanted)}\b", found)
