"""Reads events from JSON lines and ring buffers; collects invalid lines.

A process that is killed leaves an incomplete line, and a log shipper may
truncate or interleave lines. One invalid line must not hide thousands of
valid ones, so it is reported by source and line number and the rest is
read.
"""

import dataclasses

from crocuskeel.timeline import event as events
from crocuskeel.timeline import exceptions

__all__ = ["InvalidLine", "Parsed", "join", "parse_lines", "parse_ring"]


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidLine:
    """A line that is not a valid event; ``line`` starts at 1."""

    source: str
    line: int
    reason: str

    def __str__(self):
        return f"{self.source}:{self.line}: {self.reason}"


@dataclasses.dataclass(frozen=True, slots=True)
class Parsed:
    """Events in the order read, and the invalid lines."""

    events: tuple[events.Event, ...]
    invalid: tuple[InvalidLine, ...] = ()


def parse_lines(lines, source):
    """Read events from an iterable of text lines.

    ``source`` is the file name for :class:`InvalidLine`. Empty lines
    are skipped.
    """
    non_empty = ((number, line) for number, line in enumerate(lines, start=1)
                 if line.strip())
    return _parse(non_empty, source, events.from_line)


def parse_ring(ring, source):
    """Read events from JSON forms, such as a host's ring buffer."""
    return _parse(enumerate(ring, start=1), source, events.from_dict)


def join(results):
    """Concatenate the results of several sources, without ordering."""
    results = tuple(results)
    return Parsed(
        tuple(event for each in results for event in each.events),
        tuple(invalid for each in results for invalid in each.invalid))


def _parse(numbered, source, parse):
    valid = []
    invalid = []
    for number, item in numbered:
        try:
            valid.append(parse(item))
        except exceptions.InvalidEventError as exc:
            invalid.append(InvalidLine(source, number, str(exc)))
    return Parsed(tuple(valid), tuple(invalid))
