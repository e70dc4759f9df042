"""Tests that known failures are kept apart from new ones in a plain pytest run.

A known failure listed in KNOWN-RED.txt does not fail the run; any other one does.
"""

import pytest

from tests import conftest

pytest_plugins = ["pytester"]

TEST_MODULE = """
def test_listed():
    assert False

def test_other():
    assert {other}
"""
KNOWN_RED_TEXT = "test_it.py::test_listed | pytest | seen | issue 0\n"


@pytest.mark.parametrize(("other", "exit_code"), [(True, 0), (False, 1)])
def test_only_unlisted_failure_fails_run(
    other: bool,
    exit_code: int,
    pytester: pytest.Pytester,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        conftest, "_read", lambda: conftest.parse_known_red(KNOWN_RED_TEXT)
    )
    pytester.makeconftest("from tests.conftest import *\n")
    pytester.makepyfile(test_it=TEST_MODULE.format(other=other))
    found = pytester.runpytest_inprocess("-p", "no:cacheprovider")
    assert found.ret == exit_code
    found.stdout.fnmatch_lines(["*test_listed: expected to fail | pytest*"])


def test_listed_tests_exist(request: pytest.FixtureRequest) -> None:
    """An entry for a test that was renamed has no effect and goes unnoticed."""
    listed = conftest._read()
    for name in listed:
        path, _, function = name.partition("::")
        source = (request.config.rootpath / path).read_text()
        assert f"def {function.partition('[')[0]}(" in source, name
