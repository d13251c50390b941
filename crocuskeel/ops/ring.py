"""Queries of a host's ring buffer of recent events."""

import dataclasses

from crocuskeel.ops import exceptions
from crocuskeel import timeline

__all__ = ["MAX_EVENTS", "RecentEvents", "parse_selection", "query"]

MAX_EVENTS = 10_000
_LIST_ARGUMENTS = {"request": "requests", "batch": "batches",
                   "host": "hosts", "kind": "kinds"}
_TIME_ARGUMENTS = ("since", "until")


@dataclasses.dataclass(frozen=True, slots=True)
class RecentEvents:
    """Events in their JSON form, oldest first.

    ``left_out`` counts the older events that matched but exceed the
    limit.
    """

    host: str
    events: tuple[dict, ...]
    left_out: int = 0


def parse_selection(args):
    """Parse query arguments into a ``timeline.Selection``.

    ``args`` maps a name to its values. Raises
    :class:`InvalidQueryError` for an invalid time.
    """
    criteria = {field: tuple(args.get(name, ()))
                for name, field in _LIST_ARGUMENTS.items()}
    for name in _TIME_ARGUMENTS:
        values = args.get(name, ())
        criteria[name] = _parse_seconds(name, values[0]) if values else None
    return timeline.Selection(**criteria)


def _parse_seconds(name, text):
    try:
        return float(text)
    except ValueError as exc:
        raise exceptions.InvalidQueryError(
            f"{name}: not a Unix time in seconds") from exc


def query(host, events, selection, limit=MAX_EVENTS):
    """Return the newest events that match ``selection``."""
    found = timeline.select(events, selection)
    limit = max(1, min(limit, MAX_EVENTS))
    newest = found[-limit:]
    return RecentEvents(
        host, tuple(timeline.to_dict(event) for event in newest),
        len(found) - len(newest))
