"""Questions to a host's ring of recent events."""

import dataclasses

from crocuskeel.ops import exceptions
from crocuskeel import timeline

__all__ = ["MAX_EVENTS", "RingAnswer", "query", "selection"]

MAX_EVENTS = 10_000
_LISTS = {"request": "requests", "batch": "batches", "host": "hosts",
          "kind": "kinds"}
_TIMES = ("since", "until")


@dataclasses.dataclass(frozen=True, slots=True)
class RingAnswer:
    """Events in their JSON form, oldest first.

    ``left_out`` counts older ones that matched but are over the limit.
    """

    host: str
    events: tuple[dict, ...]
    left_out: int = 0


def selection(args):
    """Return the ``timeline.Selection`` of a query's arguments.

    ``args`` maps a name to its values; raises :class:`BadQuery`.
    """
    parts = {part: tuple(args.get(name, ()))
             for name, part in _LISTS.items()}
    for name in _TIMES:
        values = args.get(name, ())
        parts[name] = _seconds(name, values[0]) if values else None
    return timeline.Selection(**parts)


def _seconds(name, text):
    try:
        return float(text)
    except ValueError as exc:
        raise exceptions.BadQuery(f"{name}: not Unix seconds") from exc


def query(host, events, wanted, limit=MAX_EVENTS):
    """Return the newest events that ``wanted`` keeps."""
    found = timeline.select(events, wanted)
    limit = max(1, min(limit, MAX_EVENTS))
    newest = found[-limit:]
    return RingAnswer(
        host, tuple(timeline.to_dict(event) for event in newest),
        len(found) - len(newest))
