"""Decision logic of an entry host, free of side effects.

Each host decides alone, based on its own requests, on the load that
backend servers report in their responses, and on the few facts that
hosts exchange. :func:`reduce` takes one event and returns effects;
nothing in this package does I/O or reads a clock.
"""

from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.entry import model
from crocuskeel.core.entry.reducer import reduce
from crocuskeel.core.entry.state import new_host
from crocuskeel.core.entry.state import Settings

__all__ = ["Settings", "effects", "events", "model", "new_host", "reduce"]
