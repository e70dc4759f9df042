"""A row of the prover: one mechanism, and the tests that notice its absence."""

import attrs


@attrs.frozen(kw_only=True)
class Row:
    """One mechanism, how it is taken out, and the tests that notice.

    Attributes:
        promise: The promise it serves, as numbered in docs/PROOFS.md.
        what: What is left out.
        file: The module it stands in.
        text: The text that is replaced.
        instead: What takes its place.
        test: The tests to run, as pytest names them.
    """

    promise: str
    what: str
    file: str
    text: str
    instead: str
    test: str
