"""Orders the events of all processes, and filters them."""

import dataclasses

from crocuskeel.timeline import event as events

__all__ = ["Selection", "merge", "select"]


@dataclasses.dataclass(frozen=True, slots=True)
class Selection:
    """A filter for events; an empty or None field matches all.

    ``kinds`` are prefixes, so that ``claim`` matches every kind of event
    about claims. ``since`` and ``until`` are Unix times in seconds by the
    hybrid clock, whose order is the same on all hosts.
    """

    requests: tuple[str, ...] = ()
    batches: tuple[str, ...] = ()
    hosts: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()
    since: float | None = None
    until: float | None = None

    def matches(self, event):
        """Tell whether an event matches."""
        ts = event.stamp.ms / 1000
        return (
            _matches_any(event.rid, self.requests)
            and _matches_any(event.batch, self.batches)
            and _matches_any(event.host, self.hosts)
            and (not self.kinds or event.kind.startswith(self.kinds))
            and (self.since is None or ts >= self.since)
            and (self.until is None or ts <= self.until))


def _matches_any(value, wanted):
    return not wanted or value in wanted


def _sort_key(event):
    # Events of two hosts have equal stamps only if neither caused the
    # other, so either order is valid.
    return (event.stamp, event.host, event.incarnation)


def merge(found: tuple[events.Event, ...]):
    """Return events in causal order without duplicates.

    A host's log file and its ring buffer contain the same events; a
    process never issues a stamp twice, so host, incarnation and stamp
    identify an event.
    """
    unique = {(_sort_key(event), event.kind): event for event in found}
    return tuple(sorted(unique.values(), key=_sort_key))


def select(found, selection):
    """Return the events that match a selection, in the same order."""
    return tuple(event for event in found if selection.matches(event))
