"""Checks that whatever waits in a state machine is woken up by something.

A component that holds work must have a call in flight or a pending timer
for it; otherwise only an unrelated event would make it go on.
"""

__all__ = ["StuckError", "check"]


class StuckError(AssertionError):
    """Work waits with neither a call in flight nor a timer."""


def check(component, waiting, wakeups):
    """Raise StuckError unless each piece of work has a wakeup.

    ``waiting`` maps each piece of work to the wakeups of which one is
    enough: timer keys or ids of calls. ``wakeups`` holds the pending ones.
    """
    stuck = [work for work, expected in waiting.items()
             if wakeups.isdisjoint(expected)]
    if stuck:
        raise StuckError(
            f"{component}: neither a call nor a timer for {stuck}")
