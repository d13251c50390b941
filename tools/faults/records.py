"""Reads the processes' time line files."""

import dataclasses
import json

from tools.faults import fleet as fleets

__all__ = ["Row", "control_rows", "entry_rows", "ordering"]


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One event of one process; ``ts`` is Unix seconds."""

    ts: float
    host: str
    incarnation: int
    generation: int
    kind: str
    rid: str
    fields: dict


def _read(fleet, name):
    path = fleet.folder / f"{name}.jsonl"
    if not path.exists():
        return []
    out = []
    for line in path.read_text().splitlines():
        try:
            doc = json.loads(line)
        except ValueError:
            # The last line of a killed process can be half a line.
            continue
        out.append(Row(
            doc["ts"], name, doc.get("incarnation", 0),
            doc.get("generation", 0), doc["kind"], doc.get("rid", ""),
            doc.get("fields", doc)))
    return out


def entry_rows(fleet):
    """Return the events of all entry hosts, each host's in order."""
    return [row for entry in fleet.plan.entries
            for row in _read(fleet, entry.name)]


def control_rows(fleet):
    """Return the events of the control programs by time."""
    rows = [row for name in fleets.CONTROLS for row in _read(fleet, name)]
    return sorted(rows, key=lambda row: row.ts)


def ordering(fleet):
    """Return the control program that sent the last order, or ""."""
    sent = [row.host for row in control_rows(fleet)
            if row.kind == "order_sent"]
    return sent[-1] if sent else ""
