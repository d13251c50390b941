"""One order over events of all processes, and selections from it."""

import dataclasses

from crocuskeel.timeline import event as events

__all__ = ["Selection", "merge", "select"]


@dataclasses.dataclass(frozen=True, slots=True)
class Selection:
    """Which events to keep; an empty or None part keeps all.

    ``kinds`` match by prefix, so that ``claim`` takes every kind of the
    claims. ``since`` and ``until`` are Unix seconds, by the hybrid
    clock, which all hosts share.
    """

    requests: tuple[str, ...] = ()
    batches: tuple[str, ...] = ()
    hosts: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()
    since: float | None = None
    until: float | None = None

    def matches(self, event):
        """Tell whether an event is to be kept."""
        ts = event.stamp.ms / 1000
        return (
            _named(event.rid, self.requests)
            and _named(event.batch, self.batches)
            and _named(event.host, self.hosts)
            and (not self.kinds or event.kind.startswith(self.kinds))
            and (self.since is None or ts >= self.since)
            and (self.until is None or ts <= self.until))


def _named(value, wanted):
    return not wanted or value in wanted


def _order(event):
    # Stamps of two hosts may be equal only if neither caused the other.
    return (event.stamp, event.host, event.incarnation)


def merge(found: tuple[events.Event, ...]):
    """Return events in the order of cause, each once.

    A host's file and its ring hold the same events; a process never
    gives a stamp twice, so host, incarnation and stamp name an event.
    """
    unique = {(_order(event), event.kind): event for event in found}
    return tuple(sorted(unique.values(), key=_order))


def select(found, selection):
    """Return the events that a selection keeps, in their order."""
    return tuple(event for event in found if selection.matches(event))
