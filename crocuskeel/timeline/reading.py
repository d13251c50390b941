"""Reading events from JSON lines and rings; bad lines are counted.

A process that is killed leaves half a line, and a log shipper may cut
or mix lines. One bad line must not hide the thousands of good ones, so
each is named by source and line and the rest is read.
"""

import dataclasses

from crocuskeel.timeline import event as events
from crocuskeel.timeline import exceptions

__all__ = ["BadLine", "Parsed", "join", "parse_lines", "parse_ring"]


@dataclasses.dataclass(frozen=True, slots=True)
class BadLine:
    """A line that is no event; ``line`` counts from 1."""

    source: str
    line: int
    why: str

    def __str__(self):
        return f"{self.source}:{self.line}: {self.why}"


@dataclasses.dataclass(frozen=True, slots=True)
class Parsed:
    """Events in the order read, and what could not be read."""

    events: tuple[events.Event, ...]
    bad: tuple[BadLine, ...] = ()


def parse_lines(lines, source):
    """Read events from an iterable of text lines.

    ``source`` is the file's name in :class:`BadLine`. Empty lines are
    skipped.
    """
    kept = ((at, line) for at, line in enumerate(lines, start=1)
            if line.strip())
    return _parse(kept, source, events.from_line)


def parse_ring(ring, source):
    """Read events from JSON forms, such as a live host's ring."""
    return _parse(enumerate(ring, start=1), source, events.from_dict)


def join(parsed):
    """Put what was read from several sources together, in no order."""
    parsed = tuple(parsed)
    return Parsed(
        tuple(event for each in parsed for event in each.events),
        tuple(bad for each in parsed for bad in each.bad))


def _parse(numbered, source, read):
    good = []
    bad = []
    for at, item in numbered:
        try:
            good.append(read(item))
        except exceptions.BadEvent as exc:
            bad.append(BadLine(source, at, str(exc)))
    return Parsed(tuple(good), tuple(bad))
