"""Decisions of an entry host that serves callers on its own counts.

Each host decides alone: from its own requests, from what backend
servers say of their load in their answers, and from the few facts that
hosts tell each other. :func:`reduce` takes one event and returns
effects; nothing in here does I/O or reads a clock.
"""

from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.entry import model
from crocuskeel.core.entry.reducer import reduce
from crocuskeel.core.entry.state import new_host
from crocuskeel.core.entry.state import Settings

__all__ = ["Settings", "effects", "events", "model", "new_host", "reduce"]
