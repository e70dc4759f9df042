"""The definition of a mutant: a mechanism removed from a copy of the source."""

import attrs


@attrs.frozen(kw_only=True)
class Mutant:
    """A mechanism, the source edit that removes it, and the tests that must then fail.

    Attributes:
        guarantee: The guarantee that the mechanism serves; numbers refer to
            docs/PROOFS.md.
        mechanism: The mechanism that is removed.
        file: The module to edit, relative to the package.
        text: The text to replace; it must occur exactly once in the module.
        replacement: The text that replaces it.
        test: The tests to run, as pytest arguments separated by spaces.
    """

    guarantee: str
    mechanism: str
    file: str
    text: str
    replacement: str
    test: str
