"""Splits a text/event-stream into events at blank lines."""

import dataclasses

__all__ = ["EventSplitter", "event_id"]

# Maximum size of an event, bytes; engines send none that is larger.
MAX_EVENT_BYTES = 1 << 20
MAX_ID_DIGITS = 18
_EVENT_ENDS = (b"\n\n", b"\r\n\r\n")


@dataclasses.dataclass(slots=True)
class EventSplitter:
    """Buffers the bytes of an incomplete event."""

    partial: bytes = b""

    def feed(self, data):
        """Return the events that ``data`` completes.

        They include their blank lines. Raises ValueError for an event that is
        too large.
        """
        self.partial += data
        found = []
        while True:
            end = _end_of_first_event(self.partial)
            if end < 0:
                break
            found.append(self.partial[:end])
            self.partial = self.partial[end:]
        if len(self.partial) > MAX_EVENT_BYTES:
            raise ValueError("event too large")
        return found


def _end_of_first_event(data):
    ends = [data.find(end) + len(end) for end in _EVENT_ENDS if end in data]
    return min(ends, default=-1)


def event_id(event):
    """Return the id of an event as a number, or None."""
    for line in event.splitlines():
        name, _, value = line.partition(b":")
        value = value.strip()
        if (name.strip() == b"id" and value.isdigit()
                and len(value) <= MAX_ID_DIGITS):
            return int(value)
    return None
