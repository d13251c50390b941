"""Reads the event logs of the processes."""

import dataclasses
import json

from tools.faults import fleet as fleets

__all__ = ["Event", "control_events", "entry_events", "last_order_sender"]


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One event of one process; ``ts`` is Unix seconds."""

    ts: float
    host: str
    incarnation: int
    generation: int
    kind: str
    rid: str
    fields: dict


def _read_events(fleet, name):
    path = fleet.folder / f"{name}.jsonl"
    if not path.exists():
        return []
    events = []
    for line in path.read_text().splitlines():
        try:
            doc = json.loads(line)
        except ValueError:
            # A killed process can leave an incomplete last line.
            continue
        events.append(Event(
            doc["ts"], name, doc.get("incarnation", 0),
            doc.get("generation", 0), doc["kind"], doc.get("rid", ""),
            doc.get("fields", doc)))
    return events


def entry_events(fleet):
    """Return the events of all entry hosts, in order for each host."""
    return [event for entry in fleet.plan.entries
            for event in _read_events(fleet, entry.name)]


def control_events(fleet):
    """Return the events of the control programs, ordered by time."""
    events = [event for name in fleets.CONTROL_HOSTS
              for event in _read_events(fleet, name)]
    return sorted(events, key=lambda event: event.ts)


def last_order_sender(fleet):
    """Return the control program that sent the last order, or ""."""
    senders = [event.host for event in control_events(fleet)
               if event.kind == "order_sent"]
    return senders[-1] if senders else ""
