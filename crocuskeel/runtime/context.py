"""State of one daemon's runtime, shared by its modules.

Each field is owned by the module named in the comment above it; other
modules use that module's functions.
"""

import collections
import dataclasses
import typing

__all__ = ["Context", "new_context"]


@dataclasses.dataclass(slots=True)
class Context:
    """State of a daemon's runtime.

    ``reduce(daemon, event, now)`` is the core's reducer; tests replace it.
    """

    reactor: typing.Any
    cfg: typing.Any
    daemon: typing.Any
    reduce: typing.Callable
    # loop
    handlers: dict
    event_queue: collections.deque
    timers: dict
    handling_event: bool = False
    # callers
    exchanges: dict = dataclasses.field(default_factory=dict)
    last_rid: int = 0
    fail_request: typing.Any = None
    # attempts
    attempts: dict = dataclasses.field(default_factory=dict)
    connections: typing.Any = None
    # response_cache
    response_cache: typing.Any = None
    # peers
    peers: typing.Any = None
    # platform_calls
    platform: typing.Any = None
    # polling
    polls: typing.Any = None
    # records
    records: typing.Any = None
    # ops
    ops: typing.Any = None
    # program
    door_port: typing.Any = None
    on_exit: typing.Any = None
    stopping: bool = False


def new_context(reactor, cfg, daemon, reduce):
    """Return a runtime without handlers or connections."""
    return Context(reactor=reactor, cfg=cfg, daemon=daemon, reduce=reduce,
                   handlers={}, event_queue=collections.deque(), timers={})
