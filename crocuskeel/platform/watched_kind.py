"""The state of the watch of a kind of object in the store."""

import dataclasses
import typing

from twisted.internet import defer

__all__ = ["WatchedKind"]


@dataclasses.dataclass(slots=True)
class WatchedKind:
    """State of the watch of a kind of object.

    ``on_list`` and ``on_change`` handle lists and changes from the store, and
    ``keep`` returns what is kept of an object of a list, None for nothing. All
    changes up to ``revision`` are known; it is None until the list was read.
    ``answered_at`` is when the store last answered, by the reactor's clock.
    """

    name: str
    on_list: typing.Callable
    on_change: typing.Callable
    answered_at: float
    keep: typing.Callable = lambda obj: obj
    revision: int | None = None
    failures: int = 0
    called_at: float = 0.0
    # The open watch, if any.
    watch: defer.Deferred | None = None
    # The next watch is the first one since the list was read, or since
    # a call failed.
    is_resuming: bool = True
