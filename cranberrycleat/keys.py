"""Keys of the table rows that schedulers share.

All rows of a shard have one prefix, so that a new owner can read them in one scan.
Changes that wait for the owner have another prefix.
"""

from typing import Final

SHARD: Final = "shard"
INBOX: Final = "inbox"


def owner_key(data_centre: str) -> str:
    """Return the key of a shard's ownership lease."""
    return f"{SHARD}/{data_centre}/owner"


def job_key(data_centre: str, job: str) -> str:
    """Return the key of the row for a job's part in a shard."""
    return f"{SHARD}/{data_centre}/job/{job}"


def worker_key(data_centre: str, worker: str) -> str:
    """Return the key of a worker's row in a shard."""
    return f"{SHARD}/{data_centre}/worker/{worker}"


def inbox_prefix(data_centre: str) -> str:
    """Return the prefix of the changes that wait for a shard's owner."""
    return f"{INBOX}/{data_centre}/"


def name_key(job: str) -> str:
    """Return the key of the row that makes a job's name unique."""
    return f"name/{job}"
