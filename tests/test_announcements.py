"""Tests what is kept, stored and restored of workers that announced that they leave."""

import json

import pytest

from cranberrycleat import errors
from cranberrycleat.table import value_bytes
from cranberrycleat.workflow import announcements
from cranberrycleat.workflow.announcements import Announcements
from cranberrycleat.workflow.batches import note_rejected, take_batch
from cranberrycleat.workflow.cluster_state import ClusterState
from tests.cell import job, queue, step


def announced(*incarnations: str) -> Announcements:
    """Return announcements of some incarnations."""
    found = Announcements()
    for each in incarnations:
        found.add(each)
    return found


def test_number_of_announcements_kept_is_limited(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(announcements, "MAX_KEPT", 2)
    found = announced("a", "b", "c")
    assert len(found) == 2 and "a" not in found and "b" in found and "c" in found


def test_next_owner_restores_what_was_stored() -> None:
    put = announced("a", "b@5").take_put(65_536)
    restored = announced("c")
    restored.restore(put.value, put.key)
    assert all(each in restored for each in ("a", "b@5", "c"))
    assert restored.unstored
    assert json.loads(restored.take_put(65_536).value)["workers"] == ["a", "b@5", "c"]


@pytest.mark.parametrize(
    ("known", "stored", "unstored"),
    [
        (["a"], None, True),
        ([], None, False),
        (["a"], ["a", "b"], False),
        (["a", "c"], ["a", "b"], True),
    ],
)
def test_host_stores_what_it_knew_before_it_took_over(
    known: list[str], stored: list[str] | None, unstored: bool
) -> None:
    """A batch of its earlier ownership may not have been stored."""
    found = announced(*known)
    found.take_put(65_536)
    if stored is None:
        found.store_again()
    else:
        put = announced(*stored).take_put(65_536)
        found.restore(put.value, put.key)
    assert found.unstored is unstored


def test_restored_announcements_alone_are_not_written_again() -> None:
    put = announced("a").take_put(65_536)
    restored = Announcements()
    restored.restore(put.value, put.key)
    assert not restored.unstored


@pytest.mark.parametrize("text", ["", "[]", '{"workers": [1]}', '{"workers": 1}'])
def test_malformed_row_is_reported_and_changes_nothing(text: str) -> None:
    found = announced("a")
    with pytest.raises(errors.FindingsError):
        found.restore(text, announcements.KEY)
    assert len(found) == 1 and "a" in found


@pytest.mark.parametrize("row_bytes", [20, 100, 1000, 5000])
def test_row_holds_the_latest_that_fit(row_bytes: int) -> None:
    names = [f"i-{number:04}" for number in range(200)]
    put = announced(*names).take_put(row_bytes)
    stored = json.loads(put.value)["workers"]
    assert value_bytes(put.value) <= row_bytes
    assert stored == names[len(names) - len(stored) :]


def test_announcements_are_written_once_and_again_if_the_batch_is_rejected() -> None:
    cluster_state = ClusterState()
    cluster_state.announcements.add("a")
    cluster_state.accept("j", queue(), job(step(1)))
    batch = take_batch(cluster_state)
    assert announcements.KEY in [put.key for put in batch.puts]
    assert not take_batch(cluster_state).puts
    note_rejected(cluster_state, batch)
    assert cluster_state.announcements.unstored
