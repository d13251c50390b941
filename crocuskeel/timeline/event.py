"""One event of the time line, and its JSON form.

The JSON form is what daemons write, a line each, and what their rings
hold: an object with the keys ``ts``, ``hlc`` (``[ms, count]``),
``host``, ``incarnation``, ``generation``, ``kind``, ``rid``, ``batch``
and ``fields`` (name to str, int, float or bool). ``rid``, ``batch``,
``generation``, ``incarnation`` and ``fields`` may be left out; a
``batch`` among the fields counts as the event's own.

Lines of the program's own log (kind ``log``) stand in the same files.
They have no ``hlc``: their place is by the host's own clock, and their
other keys become fields.
"""

import dataclasses
import json
import math
import typing

from crocuskeel.timeline import exceptions
from crocuskeel.timeline import hlc

__all__ = ["Event", "Value", "from_dict", "from_line", "to_dict",
           "to_line"]

Value = str | int | float | bool
_LOG = "log"
_SCALARS = (str, int, float, bool)


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """What one process saw or did.

    ``ts`` is Unix seconds by the host's own clock; ``stamp`` orders
    events of all hosts; ``fields`` are name and value pairs.
    """

    ts: float
    stamp: hlc.Stamp
    host: str
    incarnation: int
    generation: int
    kind: str
    rid: str = ""
    batch: str = ""
    fields: tuple[tuple[str, Value], ...] = ()

    def get(self, name: str, default: typing.Any = None) -> typing.Any:
        """Return the field of that name, or ``default``."""
        return dict(self.fields).get(name, default)


def to_dict(event):
    """Return the JSON form of an event as a dict."""
    return {
        "ts": event.ts,
        "hlc": list(event.stamp),
        "host": event.host,
        "incarnation": event.incarnation,
        "generation": event.generation,
        "kind": event.kind,
        "rid": event.rid,
        "batch": event.batch,
        "fields": dict(event.fields),
    }


def to_line(event):
    """Return the JSON form of an event as one line without its end."""
    return json.dumps(to_dict(event), separators=(",", ":"))


def from_dict(body):
    """Return the event of a JSON form; raises :class:`BadEvent`."""
    if not isinstance(body, dict):
        raise exceptions.BadEvent("not an object")
    if body.get("kind") == _LOG and "hlc" not in body:
        body = _log_body(body)
    try:
        fields = _fields(body.get("fields") or {})
        return Event(
            ts=float(_seconds(body)),
            stamp=_stamp(body["hlc"]),
            host=_text(body, "host"),
            incarnation=int(body.get("incarnation", 0)),
            generation=int(body.get("generation", 0)),
            kind=_text(body, "kind"),
            rid=str(body.get("rid") or ""),
            batch=str(body.get("batch") or dict(fields).get("batch", "")),
            fields=fields,
        )
    except KeyError as exc:
        raise exceptions.BadEvent(f"no key {exc.args[0]!r}") from exc
    except (TypeError, ValueError, OverflowError) as exc:
        raise exceptions.BadEvent(str(exc)) from exc


def from_line(line):
    """Return the event of one line; raises :class:`BadEvent`."""
    try:
        body = json.loads(line)
    except (ValueError, RecursionError) as exc:
        raise exceptions.BadEvent(f"not JSON: {exc}") from exc
    return from_dict(body)


def _log_body(body):
    ms = int(_seconds(body) * 1000)
    kept = ("ts", "host", "kind", "incarnation", "generation")
    return {
        "hlc": (ms, 0),
        "fields": {name: value for name, value in body.items()
                   if name not in kept},
        **{name: body[name] for name in kept if name in body},
    }


def _seconds(body):
    ts = body.get("ts")
    if not isinstance(ts, (int, float)) or not math.isfinite(ts):
        raise exceptions.BadEvent("'ts' is not a time")
    return ts


def _stamp(value):
    ms, count = value
    return hlc.Stamp(int(ms), int(count))


def _text(body, key):
    value = body[key]
    if not isinstance(value, str) or not value:
        raise exceptions.BadEvent(f"{key!r} is not a name")
    return value


def _fields(body):
    if not isinstance(body, dict):
        raise exceptions.BadEvent("'fields' is not an object")
    return tuple((name, _scalar(value)) for name, value in body.items())


def _scalar(value):
    if isinstance(value, _SCALARS):
        return value
    return json.dumps(value)
