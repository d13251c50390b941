"""Events of all processes in one order of cause and effect (pure)."""

from crocuskeel.timeline.event import Event
from crocuskeel.timeline.event import from_dict
from crocuskeel.timeline.event import from_line
from crocuskeel.timeline.event import to_dict
from crocuskeel.timeline.event import to_line
from crocuskeel.timeline.exceptions import BadEvent
from crocuskeel.timeline.exceptions import TimelineError
from crocuskeel.timeline.hlc import Clock
from crocuskeel.timeline.hlc import new_clock
from crocuskeel.timeline.hlc import Stamp
from crocuskeel.timeline.merging import merge
from crocuskeel.timeline.merging import select
from crocuskeel.timeline.merging import Selection
from crocuskeel.timeline.page import draw_page
from crocuskeel.timeline.reading import BadLine
from crocuskeel.timeline.reading import join
from crocuskeel.timeline.reading import parse_lines
from crocuskeel.timeline.reading import parse_ring
from crocuskeel.timeline.reading import Parsed
from crocuskeel.timeline.text import draw_text

__all__ = [
    "BadEvent", "BadLine", "Clock", "Event", "Parsed", "Selection",
    "Stamp", "TimelineError", "draw_page", "draw_text", "from_dict",
    "from_line", "join", "merge", "new_clock", "parse_lines",
    "parse_ring", "select", "to_dict", "to_line",
]
