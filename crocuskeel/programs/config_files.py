"""Errors in settings files of JSON with comments, with ids and hints."""

import dataclasses

__all__ = ["FileError", "InvalidFileError", "parse_object"]


@dataclasses.dataclass(frozen=True, slots=True)
class FileError:
    """An error in a file, with a hint on how to correct it."""

    id: str
    text: str
    hint: str

    def __str__(self):
        return f"{self.id}: {self.text} ({self.hint})"


class InvalidFileError(Exception):
    """A file is invalid; ``errors`` lists every error."""

    def __init__(self, errors):
        super().__init__("; ".join(map(str, errors)))
        self.errors = tuple(errors)


def parse_object(text, area, error=InvalidFileError):
    """Parse a JSON object with comments.

    Raises ``error``, an InvalidFileError, with the error AREA.E001 or
    AREA.E002.
    """
    # The library is needed only if a file is given.
    import json5

    try:
        found = json5.loads(text)
    except (ValueError, RecursionError) as exc:
        raise error([FileError(
            f"{area}.E001", f"invalid JSON with comments: {exc}",
            "check commas and brackets")]) from exc
    if not isinstance(found, dict):
        raise error([FileError(
            f"{area}.E002", "top level is not an object", "write { ... }")])
    return found
