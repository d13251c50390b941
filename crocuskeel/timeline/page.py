"""Renders the timeline as one self-contained HTML page.

The page contains its events as JSON and renders them by script, so that
its filters can render them again. Its content security policy forbids all
network access.
"""

from importlib import resources
import json

from crocuskeel.timeline import event as events
from crocuskeel.timeline import text

__all__ = ["render_page"]

_TEMPLATE = "page.html"
_EVENTS_PLACEHOLDER = "/*EVENTS*/"


def render_page(ordered, invalid=()):
    """Render events that are already in order as an HTML page.

    ``invalid`` are the invalid lines; the page shows how many there are.
    """
    body = {
        "events": [_row(event, changed_fields) for event, changed_fields
                   in zip(ordered, text.changed_fields(ordered))],
        "bad": [str(each) for each in invalid],
    }
    template = resources.files(__package__).joinpath(_TEMPLATE)
    page = template.read_text(encoding="utf-8")
    return page.replace(_EVENTS_PLACEHOLDER, _script_json(body))


def _row(event, changed_fields):
    row = events.to_dict(event)
    row["at"] = text.format_time_of_day(event.stamp.ms)
    row["text"] = changed_fields
    return row


def _script_json(body):
    # A field with "</script>" would end the data block and be parsed as
    # markup.
    return (json.dumps(body, separators=(",", ":"))
            .replace("<", "\\u003c").replace(">", "\\u003e")
            .replace("&", "\\u0026"))
