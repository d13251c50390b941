"""The rate at which work arrives at a host, by priority.

The load: more urgent classes that keep arriving while a prompt waits. What
they need is not left for it, so its expected wait has to count them.
"""

import dataclasses
import math

__all__ = ["Arrivals", "new_arrivals", "note", "tokens_per_s"]

# Time constant of the rate at which work arrives, s: bursts last for some
# seconds, and a host gets a few requests a second.
ARRIVALS_S = 4.0


@dataclasses.dataclass(slots=True)
class Arrivals:
    """Decaying sums of the tokens to prefill that arrived, by priority."""

    tokens: dict = dataclasses.field(default_factory=dict)
    at: float = 0.0


def new_arrivals():
    """Return the state of a service that got no request yet."""
    return Arrivals()


def note(arrivals, priority, tokens, now):
    """Count the tokens that a new request needs prefilled."""
    _decay(arrivals, now)
    arrivals.tokens[priority] = arrivals.tokens.get(priority, 0.0) + tokens


def tokens_per_s(arrivals, priority, now):
    """Return the tokens a second that arrive before a priority."""
    _decay(arrivals, now)
    return sum(tokens for other, tokens in arrivals.tokens.items()
               if other < priority) / ARRIVALS_S


def _decay(arrivals, now):
    factor = math.exp((arrivals.at - now) / ARRIVALS_S)
    arrivals.at = now
    for priority in arrivals.tokens:
        arrivals.tokens[priority] *= factor
