"""Readers for user-written files: workloads and configuration."""

import tomllib
from pathlib import Path
from typing import Any, Final

import msgspec

from cranberrycleat import codec, errors
from cranberrycleat.config import Configuration, parse_configuration
from cranberrycleat.jobs import JobSpec, parse_job, unwrap

MAX_FILE_BYTES: Final = 1024 * 1024
"""The largest file that is accepted."""


def read_document(path: Path) -> Any:
    """Read a TOML or JSON file.

    Raises:
        FindingsError: The file cannot be read, is too large or is malformed.
    """
    try:
        data = path.read_bytes()
    except OSError as exc:
        raise _malformed(path, str(exc.strerror)) from None
    if len(data) > MAX_FILE_BYTES:
        found = errors.finding(
            str(path), errors.TOO_LARGE, size=f"{len(data)} bytes", limit=MAX_FILE_BYTES
        )
        raise errors.FindingsError(findings=(found,))
    try:
        if path.suffix == ".json":
            return msgspec.json.decode(data)
        return tomllib.loads(data.decode())
    except (
        *codec.UNDECODABLE,
        tomllib.TOMLDecodeError,
        UnicodeDecodeError,
    ) as exc:
        raise _malformed(path, str(exc)) from None


def _malformed(path: Path, reason: str) -> errors.FindingsError:
    found = errors.finding(str(path), errors.MALFORMED, reason=reason)
    return errors.FindingsError(findings=(found,))


def load_jobs(paths: tuple[Path, ...]) -> tuple[JobSpec, ...]:
    """Read workload files, each with one job or a list of jobs under `job`.

    Raises:
        FindingsError: Lists all faults in all files.
    """
    found = errors.Findings()
    specs: list[JobSpec] = []
    for path in paths:
        try:
            specs.extend(_jobs_in(path))
        except errors.FindingsError as exc:
            found.extend(exc.findings)
    if found.items:
        raise errors.FindingsError(findings=found.sorted())
    return tuple(specs)


def _jobs_in(path: Path) -> list[JobSpec]:
    data = read_document(path)
    listed = data["job"] if isinstance(data, dict) and "job" in data else [data]
    if not isinstance(listed, list):
        raise _malformed(path, "`job` is not a list of jobs")
    found = errors.Findings()
    specs = []
    for number, each in enumerate(listed):
        place = f"{path}[{number}]" if len(listed) > 1 else str(path)
        try:
            specs.append(unwrap(parse_job(each, place=place)))
        except errors.FindingsError as exc:
            found.extend(exc.findings)
    if found.items:
        raise errors.FindingsError(findings=found.sorted())
    return specs


def load_configuration(path: Path) -> Configuration:
    """Read and validate a configuration file.

    Raises:
        FindingsError: Lists all faults found.
    """
    return unwrap(parse_configuration(read_document(path), place=str(path)))
