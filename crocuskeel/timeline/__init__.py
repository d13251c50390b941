"""Events of all processes, in causal order; does no I/O."""

from crocuskeel.timeline.event import Event
from crocuskeel.timeline.event import from_dict
from crocuskeel.timeline.event import from_line
from crocuskeel.timeline.event import to_dict
from crocuskeel.timeline.event import to_line
from crocuskeel.timeline.exceptions import InvalidEventError
from crocuskeel.timeline.exceptions import TimelineError
from crocuskeel.timeline.hlc import Clock
from crocuskeel.timeline.hlc import new_clock
from crocuskeel.timeline.hlc import Stamp
from crocuskeel.timeline.merging import merge
from crocuskeel.timeline.merging import select
from crocuskeel.timeline.merging import Selection
from crocuskeel.timeline.page import render_page
from crocuskeel.timeline.reading import InvalidLine
from crocuskeel.timeline.reading import join
from crocuskeel.timeline.reading import parse_lines
from crocuskeel.timeline.reading import parse_ring
from crocuskeel.timeline.reading import Parsed
from crocuskeel.timeline.text import render_text

__all__ = [
    "Clock", "Event", "InvalidEventError", "InvalidLine", "Parsed",
    "Selection", "Stamp", "TimelineError", "from_dict", "from_line",
    "join", "merge", "new_clock", "parse_lines", "parse_ring",
    "render_page", "render_text", "select", "to_dict", "to_line",
]
