"""Renders the timeline as text, one line for each event."""

import datetime

__all__ = ["changed_fields", "format_time_of_day", "render_text"]

_MIN_GAP_MS = 1000


def format_time_of_day(ms):
    """Format milliseconds since the epoch as a time of day in UTC."""
    time = datetime.datetime.fromtimestamp(
        ms / 1000, tz=datetime.timezone.utc)
    return time.strftime("%H:%M:%S.") + f"{int(ms) % 1000:03d}"


def changed_fields(events):
    """Return for each event a text of the fields that have changed.

    Empty fields are left out, and those that an earlier event of the
    same request had with the same value, so that its class and tier are
    not repeated on each line.
    """
    last_values = {}
    return [_changed_text(event, last_values.setdefault(event.rid, {})
                          if event.rid else {}) for event in events]


def _changed_text(event, last_values):
    omitted = ("", event.batch)
    changed = [(name, value) for name, value in event.fields
               if value not in omitted and last_values.get(name) != value]
    last_values.update(event.fields)
    return " ".join(f"{name}={_format_value(value)}"
                    for name, value in changed)


def _format_value(value):
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, float):
        return f"{value:.4g}"
    return str(value)


def _widths(events):
    return (max((len(event.host) for event in events), default=0),
            max((len(event.kind) for event in events), default=0),
            max((len(_subject(event)) for event in events), default=0))


def _subject(event):
    return event.rid or (f"batch {event.batch}" if event.batch else "-")


def _gap_line(previous, event):
    if previous is None:
        return ""
    gap_ms = event.stamp.ms - previous.stamp.ms
    return (f"  ... {gap_ms / 1000:.1f} s ...\n"
            if gap_ms >= _MIN_GAP_MS else "")


def render_text(events):
    """Render events that are already in order as text; times are UTC."""
    if not events:
        return "no events\n"
    host, kind, subject = _widths(events)
    day = datetime.datetime.fromtimestamp(
        events[0].stamp.ms / 1000, tz=datetime.timezone.utc)
    lines = [f"{len(events)} events from {day:%Y-%m-%d}, times in UTC\n"]
    previous = None
    for event, changed in zip(events, changed_fields(events)):
        line = (f"{format_time_of_day(event.stamp.ms)} {event.host:<{host}} "
                f"{event.kind:<{kind}} {_subject(event):<{subject}} "
                f"{changed}")
        lines.append(_gap_line(previous, event) + line.rstrip() + "\n")
        previous = event
    return "".join(lines)
