"""One event of the timeline, and its JSON form.

Daemons write the JSON form to their log, one event a line, and keep it
in their ring buffers. It is an object with the keys ``ts``, ``hlc``
(``[ms, count]``), ``host``, ``incarnation``, ``generation``, ``kind``,
``rid``, ``batch`` and ``fields`` (name to str, int, float or bool).
``rid``, ``batch``, ``generation``, ``incarnation`` and ``fields`` are
optional; a field ``batch`` is used if the key is absent or empty.

The same files contain the program's log messages (kind ``log``). They
have no ``hlc``: they are ordered by the host's own clock, and their
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
_LOG_KIND = "log"
_SCALAR_TYPES = (str, int, float, bool)


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """Something that one process observed or did.

    ``ts`` is the Unix time in seconds by the host's own clock; ``stamp``
    orders the events of all hosts; ``fields`` are pairs of name and
    value.
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
    """Return the JSON form of an event as one line without a newline."""
    return json.dumps(to_dict(event), separators=(",", ":"))


def from_dict(body):
    """Parse a JSON form; raise :class:`InvalidEventError` if it is invalid."""
    if not isinstance(body, dict):
        raise exceptions.InvalidEventError("not a JSON object")
    if body.get("kind") == _LOG_KIND and "hlc" not in body:
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
        raise exceptions.InvalidEventError(
            f"missing key {exc.args[0]!r}") from exc
    except (TypeError, ValueError, OverflowError) as exc:
        raise exceptions.InvalidEventError(str(exc)) from exc


def from_line(line):
    """Parse one line; raise :class:`InvalidEventError` if it is invalid."""
    try:
        body = json.loads(line)
    except (ValueError, RecursionError) as exc:
        raise exceptions.InvalidEventError(f"not JSON: {exc}") from exc
    return from_dict(body)


def _log_body(body):
    ms = int(_seconds(body) * 1000)
    standard_keys = ("ts", "host", "kind", "incarnation", "generation")
    return {
        "hlc": (ms, 0),
        "fields": {name: value for name, value in body.items()
                   if name not in standard_keys},
        **{name: body[name] for name in standard_keys if name in body},
    }


def _seconds(body):
    ts = body.get("ts")
    if not isinstance(ts, (int, float)) or not math.isfinite(ts):
        raise exceptions.InvalidEventError("'ts' is not a finite number")
    return ts


def _stamp(value):
    ms, count = value
    return hlc.Stamp(int(ms), int(count))


def _text(body, key):
    value = body[key]
    if not isinstance(value, str) or not value:
        raise exceptions.InvalidEventError(
            f"{key!r} is not a non-empty string")
    return value


def _fields(body):
    if not isinstance(body, dict):
        raise exceptions.InvalidEventError("'fields' is not a JSON object")
    return tuple((name, _scalar(value)) for name, value in body.items())


def _scalar(value):
    if isinstance(value, _SCALAR_TYPES):
        return value
    return json.dumps(value)
