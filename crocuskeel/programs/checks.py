"""Faults of our own files of JSON with comments, each with id and hint."""

import dataclasses

__all__ = ["BadFile", "Fault", "read_object"]


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """What is wrong with a file, and how to mend it."""

    id: str
    text: str
    hint: str

    def __str__(self):
        return f"{self.id}: {self.text} ({self.hint})"


class BadFile(Exception):
    """A file that can't be used; ``faults`` are all that were found."""

    def __init__(self, faults):
        super().__init__("; ".join(map(str, faults)))
        self.faults = tuple(faults)


def read_object(text, area, error=BadFile):
    """Return the object that a text holds.

    Raises ``error``, a BadFile, with the fault AREA.E001 or AREA.E002.
    """
    # Only who gives a file needs the library.
    import json5

    try:
        found = json5.loads(text)
    except (ValueError, RecursionError) as exc:
        raise error([Fault(
            f"{area}.E001", f"not JSON with comments: {exc}",
            "check commas and brackets")]) from exc
    if not isinstance(found, dict):
        raise error([Fault(
            f"{area}.E002", "not an object", "write { ... }")])
    return found
