"""The stored form of a job whose state outgrows one row: a head and its pages.

The state of such a job is encoded in sections: one for each 32 occurrences in a row
(`rows.SECTION_OCCURRENCES`), and one for attempts that are not placed. The text of a
section is cut into pages of at most the size of a row, and the head, `jobs/ID`, names
the pages of each section. A page is never written again: a section that has changed
gets new pages, so that pages may be stored in transactions before that of the head.
Until the head names them they have no effect, and a next owner deletes those that no
head names.

The head is an object where the row of any other job is an array. A version that does
not know pages finds it unreadable and leaves its attempts alone.
"""

import hashlib
from collections.abc import Iterable, Mapping
from typing import Final

import attrs

from cranberrycleat import errors
from cranberrycleat.table import Put

PAGES: Final = "pages"
"""The table of the pages; a key is `pages/ID.NUMBER`."""
OTHER_SECTION: Final = -1
"""The section of the attempts that are not placed."""


@attrs.frozen(kw_only=True)
class StoredSection:
    """A section as last stored.

    Attributes:
        digest: Digest of its text.
        pages: The numbers of its pages, in the order of the text.
    """

    digest: bytes
    pages: tuple[int, ...]


@attrs.frozen(kw_only=True)
class SectionWrite:
    """What storing the sections of a job takes.

    Attributes:
        puts: The pages to write before, or together with, the head.
        sections: The sections, as stored once the head is.
        replaced: The numbers of the pages that the head names no more.
        last_page: The highest number of any page.
    """

    puts: tuple[Put, ...] = ()
    sections: Mapping[int, StoredSection] = {}
    replaced: tuple[int, ...] = ()
    last_page: int = 0


def page_key(job_id: str, number: int) -> str:
    """Return the key of a page."""
    return f"{PAGES}/{job_id}.{number}"


def split_page_key(key: str) -> tuple[str, int]:
    """Return the job and the number of a page; -1 for a key of another form."""
    job_id, _, number = key.partition("/")[2].rpartition(".")
    return job_id, int(number) if number.isdecimal() else -1


def write_sections(
    job_id: str,
    texts: Mapping[int, bytes],
    stored: Mapping[int, StoredSection],
    *,
    last_page: int,
    row_bytes: int,
) -> SectionWrite:
    """Return the writes by which the stored sections become the given ones.

    Args:
        job_id: The job.
        texts: The text of each section.
        stored: The sections as last stored.
        last_page: The highest number of any page of the job so far.
        row_bytes: Maximum bytes of a page.
    """
    puts: list[Put] = []
    sections: dict[int, StoredSection] = {}
    for number, text in texts.items():
        digest = _digest(text)
        known = stored.get(number)
        if known is not None and known.digest == digest:
            sections[number] = known
            continue
        pages = []
        for piece in _pieces(text, row_bytes):
            last_page += 1
            pages.append(last_page)
            puts.append(Put(key=page_key(job_id, last_page), value=piece))
        sections[number] = StoredSection(digest=digest, pages=tuple(pages))
    kept = {page for section in sections.values() for page in section.pages}
    replaced = tuple(page for page in page_numbers(stored) if page not in kept)
    return SectionWrite(
        puts=tuple(puts), sections=sections, replaced=replaced, last_page=last_page
    )


def page_numbers(sections: Mapping[int, StoredSection]) -> Iterable[int]:
    """Return the numbers of all pages of the sections."""
    return (page for section in sections.values() for page in section.pages)


def read_sections(
    named: Iterable[tuple[int, tuple[int, ...]]], pages: Mapping[int, str], place: str
) -> dict[int, tuple[StoredSection, bytes]]:
    """Return the sections that a head names, with their texts.

    Raises:
        FindingsError: A page is missing.
    """
    found = {}
    for number, numbers in named:
        missing = [each for each in numbers if each not in pages]
        if missing:
            reason = f"pages {missing} are missing"
            finding = errors.finding(place, errors.MALFORMED, reason=reason)
            raise errors.FindingsError(findings=(finding,))
        text = "".join(pages[each] for each in numbers).encode()
        found[number] = (StoredSection(digest=_digest(text), pages=numbers), text)
    return found


def _digest(text: bytes) -> bytes:
    return hashlib.blake2b(text, digest_size=16).digest()


def _pieces(text: bytes, row_bytes: int) -> Iterable[str]:
    """Yield a text in pieces of bounded size, cut between characters."""
    start = 0
    while start < len(text):
        end = min(start + row_bytes, len(text))
        while end < len(text) and text[end] & 0xC0 == 0x80:
            end -= 1
        yield text[start:end].decode()
        start = end
