"""The time line as one HTML page that needs nothing else.

The page holds its events as JSON and draws them itself, so that its
filters can lay out anew. Its content policy allows no network at all.
"""

from importlib import resources
import json

from crocuskeel.timeline import event as events
from crocuskeel.timeline import text

__all__ = ["draw_page"]

_TEMPLATE = "page.html"
_DATA = "/*EVENTS*/"


def draw_page(found, bad=()):
    """Return events, already in order, as the text of an HTML page.

    ``bad`` are the lines that could not be read; the page counts them.
    """
    body = {
        "events": [_row(event, news) for event, news
                   in zip(found, text.new_fields(found))],
        "bad": [str(each) for each in bad],
    }
    template = resources.files(__package__).joinpath(_TEMPLATE)
    page = template.read_text(encoding="utf-8")
    return page.replace(_DATA, _script_json(body))


def _row(event, news):
    row = events.to_dict(event)
    row["at"] = text.clock_text(event.stamp.ms)
    row["text"] = news
    return row


def _script_json(body):
    # A field with "</script>" would end the data and run as markup.
    return (json.dumps(body, separators=(",", ":"))
            .replace("<", "\\u003c").replace(">", "\\u003e")
            .replace("&", "\\u0026"))
