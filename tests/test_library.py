"""The examples in docs/library.md run unchanged."""

import re
import subprocess
import sys
from pathlib import Path

import pytest

PAGE = Path(__file__).parent.parent / "docs" / "library.md"
EXAMPLE_PATTERN = re.compile(
    r"^## (.+?)$.*?```python\n(.*?)```", re.MULTILINE | re.DOTALL
)
EXAMPLES = EXAMPLE_PATTERN.findall(PAGE.read_text())
DAEMON_MODULES = ("scheduler", "gateway", "serve", "cli", "litestar", "uvicorn")


def test_every_part_has_an_example() -> None:
    """The page has one example for each of the six library modules."""
    assert len(EXAMPLES) == 6


@pytest.mark.parametrize(
    "code", [code for _, code in EXAMPLES], ids=[title for title, _ in EXAMPLES]
)
def test_example(code: str) -> None:
    """An example runs by itself and imports no daemon module."""
    loaded = "\nimport sys\nprint(*sys.modules)"
    done = subprocess.run(
        [sys.executable, "-c", code + loaded], capture_output=True, text=True
    )
    assert done.returncode == 0, done.stderr
    names = done.stdout.split()
    parts = [name.removeprefix("cranberrycleat.") for name in names]
    assert not set(parts) & set(DAEMON_MODULES)
