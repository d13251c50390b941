"""Whole events of a text/event-stream, cut at their blank lines."""

import dataclasses

__all__ = ["Splitter", "event_id"]

# An event that is larger than this is no event of an engine, bytes.
EVENT_MOST = 1 << 20
_ENDS = (b"\n\n", b"\r\n\r\n")


@dataclasses.dataclass(slots=True)
class Splitter:
    """Bytes of a stream that are not a whole event yet."""

    rest: bytes = b""

    def feed(self, data):
        """Return the whole events that ``data`` completes.

        They keep their blank lines. Raises ValueError for one that is
        too large.
        """
        self.rest += data
        found = []
        while True:
            cut = _first_end(self.rest)
            if cut < 0:
                break
            found.append(self.rest[:cut])
            self.rest = self.rest[cut:]
        if len(self.rest) > EVENT_MOST:
            raise ValueError("event too large")
        return found


def _first_end(data):
    cuts = [data.find(end) + len(end) for end in _ENDS if end in data]
    return min(cuts, default=-1)


def event_id(event):
    """Return the id of an event as a number, or None."""
    for line in event.splitlines():
        name, _, value = line.partition(b":")
        if name.strip() == b"id" and value.strip().isdigit():
            return int(value)
    return None
