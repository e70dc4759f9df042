"""A row of the prover: one mechanism, and the tests that notice its absence."""

import attrs


@attrs.frozen(kw_only=True)
class Mutant:
    """One mechanism, how it is taken out, and the tests that notice.

    Attributes:
        promise: The promise it serves, as numbered in docs/PROOFS.md.
        what: What is left out.
        file: The module it stands in.
        text: The text that is replaced.
        instead: What takes its place.
        test: The tests to run, as pytest names them.
    """

    guarantee: str
    mechanism: str
    file: str
    text: str
    replacement: str
    test: str
