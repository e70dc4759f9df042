"""Tests that each mutant of `tests.prove` refers to existing source text and tests."""

import re
from pathlib import Path

import pytest

from tests import prove, prove_workflow
from tests.prove_row import Mutant

MUTANTS = (*prove.MUTANTS, *prove_workflow.MUTANTS)


@pytest.mark.parametrize("row", MUTANTS, ids=[row.mechanism for row in MUTANTS])
def test_mutant_is_applicable(row: Mutant) -> None:
    """A mutant whose text is gone changes nothing, so its tests would still pass."""
    source = (prove.ROOT / "cranberrycleat" / row.file).read_text()
    assert row.text in source and row.replacement != row.text
    for test in row.test.split():
        path, _, name = test.partition("::")
        found = (prove.ROOT / Path(path)).read_text()
        wanted = name.partition("[")[0]
        assert not wanted or re.search(rf"def {re.escape(wanted)}\b", found)
