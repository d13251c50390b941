"""Events on how long requests take, as hosts tell each other."""

import dataclasses

__all__ = ["DurationsAsked", "DurationsTold"]


@dataclasses.dataclass(frozen=True, slots=True)
class DurationsAsked:
    """Host ``name`` is stopping and asks how long requests take."""

    name: str


@dataclasses.dataclass(frozen=True, slots=True)
class DurationsTold:
    """How long the latest requests took that host ``name`` served.

    Each row is (service, route, whether it has a prompt, samples), each
    sample (ms to the first event, ms from there to the end, tokens, events
    after the first one); there is a token at least.
    """

    name: str
    rows: tuple
