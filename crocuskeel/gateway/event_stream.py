"""Splits a text/event-stream into events at blank lines."""

import dataclasses
import re

__all__ = ["EventSplitter", "event_id", "to_number"]

# Maximum size of an event, bytes; engines send none that is larger.
MAX_EVENT_BYTES = 1 << 20
MAX_ID_DIGITS = 18
_EVENT_END = re.compile(rb"\n\n|\r\n\r\n")
# One byte less than the longest end of an event.
_OVERLAP = 3


@dataclasses.dataclass(slots=True)
class EventSplitter:
    """Buffers the bytes of an incomplete event.

    ``searched`` of them are known to hold no end of an event.
    """

    partial: bytearray = dataclasses.field(default_factory=bytearray)
    searched: int = 0

    def feed(self, data):
        """Return the events that ``data`` completes.

        They include their blank lines. Raises ValueError for an event that is
        too large.
        """
        self.partial += data
        found = []
        start = 0
        search_from = max(0, self.searched - _OVERLAP)
        for end in _EVENT_END.finditer(self.partial, search_from):
            found.append(bytes(self.partial[start:end.end()]))
            start = end.end()
        # The iterator keeps the buffer from being resized.
        end = None
        del self.partial[:start]
        self.searched = len(self.partial)
        if self.searched > MAX_EVENT_BYTES:
            raise ValueError("event too large")
        return found


def event_id(event):
    """Return the id of an event as a number, or None."""
    for line in event.splitlines():
        name, _, value = line.partition(b":")
        if name.strip() == b"id":
            number = to_number(value)
            if number is not None:
                return number
    return None


def to_number(value):
    """Return the number in an event's id, or None if it isn't one."""
    value = value.strip()
    if value.isdigit() and len(value) <= MAX_ID_DIGITS:
        return int(value)
    return None
