"""The time line as text, a line an event."""

import datetime

__all__ = ["clock_text", "draw_text", "new_fields"]

_GAP_MS = 1000


def clock_text(ms):
    """Return milliseconds since the epoch as a time of day in UTC."""
    moment = datetime.datetime.fromtimestamp(
        ms / 1000, tz=datetime.timezone.utc)
    return moment.strftime("%H:%M:%S.") + f"{int(ms) % 1000:03d}"


def new_fields(found):
    """Return for each event a text of the fields that tell something new.

    Left out are empty ones and those that an earlier event of the same
    request had with the same value: its class and tier need no
    repetition on each line.
    """
    told = {}
    return [_news(event, told.setdefault(event.rid, {}) if event.rid
                  else {}) for event in found]


def _news(event, told):
    shown = ("", event.batch)
    news = [(name, value) for name, value in event.fields
            if value not in shown and told.get(name) != value]
    told.update(event.fields)
    return " ".join(f"{name}={_value(value)}" for name, value in news)


def _value(value):
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, float):
        return f"{value:.4g}"
    return str(value)


def _widths(found):
    return (max((len(event.host) for event in found), default=0),
            max((len(event.kind) for event in found), default=0),
            max((len(_subject(event)) for event in found), default=0))


def _subject(event):
    return event.rid or (f"batch {event.batch}" if event.batch else "-")


def _gap(before, event):
    if before is None:
        return ""
    span = event.stamp.ms - before.stamp.ms
    return f"  ... {span / 1000:.1f} s ...\n" if span >= _GAP_MS else ""


def draw_text(found):
    """Return events, already in order, as text; times are UTC."""
    if not found:
        return "no events\n"
    host, kind, subject = _widths(found)
    day = datetime.datetime.fromtimestamp(
        found[0].stamp.ms / 1000, tz=datetime.timezone.utc)
    out = [f"{len(found)} events from {day:%Y-%m-%d}, times in UTC\n"]
    before = None
    for event, news in zip(found, new_fields(found)):
        line = (f"{clock_text(event.stamp.ms)} {event.host:<{host}} "
                f"{event.kind:<{kind}} {_subject(event):<{subject}} "
                f"{news}")
        out.append(_gap(before, event) + line.rstrip() + "\n")
        before = event
    return "".join(out)
