"""The subset of a reactor that the platform client uses."""

import dataclasses
import typing

from bench.policy import clock as clocks

__all__ = ["Reactor", "new_reactor"]


@dataclasses.dataclass(slots=True)
class _Call:
    """A scheduled call, like twisted's ``IDelayedCall``."""

    fn: typing.Callable
    args: tuple
    kwargs: dict
    is_pending: bool = True

    def active(self):
        """Tell whether the call was neither run nor cancelled."""
        return self.is_pending

    def cancel(self):
        """Cancel the call."""
        self.is_pending = False

    def run(self):
        """Run the call unless it was cancelled."""
        if self.is_pending:
            self.is_pending = False
            self.fn(*self.args, **self.kwargs)


@dataclasses.dataclass(slots=True)
class Reactor:
    """``IReactorTime`` on the virtual clock."""

    clock: clocks.Clock

    def seconds(self):
        """Return the virtual time."""
        return self.clock.now

    def callLater(self, delay, fn, *args, **kwargs):
        """Schedule a call in ``delay`` seconds."""
        call = _Call(fn, args, kwargs)
        clocks.call_later(self.clock, delay, call.run)
        return call


def new_reactor(clock):
    """Return a reactor that runs on ``clock``."""
    return Reactor(clock)
