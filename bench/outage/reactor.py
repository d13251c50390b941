"""The part of a reactor that the platform client uses, on our clock."""

import dataclasses
import typing

from bench.policy import clock as clocks

__all__ = ["Reactor", "new_reactor"]


@dataclasses.dataclass(slots=True)
class _Call:
    """A call that is due, as twisted's ``IDelayedCall``."""

    fn: typing.Callable
    args: tuple
    kwargs: dict
    waits: bool = True

    def active(self):
        """Tell whether it was neither made nor cancelled."""
        return self.waits

    def cancel(self):
        """Don't make the call."""
        self.waits = False

    def make(self):
        """Make the call unless it was cancelled."""
        if self.waits:
            self.waits = False
            self.fn(*self.args, **self.kwargs)


@dataclasses.dataclass(slots=True)
class Reactor:
    """``IReactorTime`` on the virtual clock."""

    clock: clocks.Clock

    def seconds(self):
        """Return the virtual time."""
        return self.clock.now

    def callLater(self, delay, fn, *args, **kwargs):
        """Have a call made after ``delay`` seconds."""
        call = _Call(fn, args, kwargs)
        clocks.at(self.clock, delay, call.make)
        return call


def new_reactor(clock):
    """Return a reactor of ``clock``."""
    return Reactor(clock)
