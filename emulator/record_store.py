"""The store's records of streams and crashes that hosts read and write.

Carries out the effects of :mod:`crocuskeel.core.entry.record_effects` with
the delays and failures of a store. The objects outlive all hosts.
"""

import collections
import dataclasses
import math
import random

from crocuskeel.core.entry import record_effects
from crocuskeel.core.entry import record_events
from crocuskeel.core import revisions

__all__ = ["CALL_TIMEOUT_S", "RecordStore"]

# Time of a call, one way, s.
HALF_CALL_S = 0.002
# Hosts wait for a call for so long, s.
CALL_TIMEOUT_S = 1.0
# A write without an answer that is done late is so after up to this, s.
MAX_LATE_S = 4.0
VERSIONS = "versions"
SEGMENTS = "streams"
CRASHES = "crashes"
# Bytes of a segment besides its keys, and of each key.
SEGMENT_BYTES = 160
KEY_BYTES = 8 * 4 / 3


class RecordStore:
    """Objects by (kind, name), each with its number.

    ``counts`` holds the number of calls by the name of their effect, and
    ``sizes`` the bytes of the segments that they carried. ``slowdown_s`` is
    added to each call. A share ``unanswered`` of the writes gets no answer;
    with ``is_late`` these are done some seconds later. Above ``rate_limit``
    calls a second, calls fail, and those of the hosts ``refused`` always.
    Reads that need not be exact return what was there ``stale_s`` ago.
    """

    def __init__(self, world, seed):
        self.world = world
        self.rng = random.Random(seed)
        # Which writes of crashes are answered doesn't change which others are.
        self.crash_rng = random.Random(f"crashes {seed}")
        self.objects = {}
        self.number = 0
        # (time, objects, number) after each change.
        self.former = [(-math.inf, {}, 0)]
        self.counts = collections.Counter()
        self.sizes = collections.Counter()
        self.slowdown_s = 0.0
        self.unanswered = 0.0
        self.is_late = False
        self.rate_limit = None
        self.refused = frozenset()
        self.stale_s = 0.0
        self.called_at = collections.deque()

    def is_available(self, host):
        """Return whether a host reaches the store."""
        return (not self.world.store_down
                and host.name not in self.world.without_store)

    def execute(self, host, effect):
        """Carry out a host's effect; its result is delivered later."""
        if isinstance(effect, record_effects.ScheduleSegment):
            self.world.clock.at(effect.at, host.receive_event, host.boot,
                                record_events.SegmentDue())
            return
        if host.is_former:
            self._answer(host, effect, None, 0.0)
            return
        self.counts[type(effect).__name__] += 1
        delay_s = HALF_CALL_S + self.slowdown_s / 2
        self.world.clock.after(delay_s, self._arrive, host, host.boot, effect,
                               delay_s)

    def _arrive(self, host, boot, effect, delay_s):
        is_available = (self.is_available(host)
                        and host.name not in self.refused)
        if not is_available or not self._is_within_limit(effect):
            self.counts["failed"] += 1
            self._answer(host, effect, None, delay_s, boot, is_available)
            return
        is_write = not isinstance(effect, _READS)
        if is_write and self._rng_of(effect).random() < self.unanswered:
            if self.is_late:
                self.world.clock.after(
                    self._rng_of(effect).uniform(CALL_TIMEOUT_S, MAX_LATE_S),
                    self._do_late, effect)
            else:
                _CALLS[type(effect)](self, effect)
            self._answer(host, effect, None, CALL_TIMEOUT_S, boot)
            return
        result = _CALLS[type(effect)](self, effect)
        if 2 * delay_s > CALL_TIMEOUT_S:
            self.world.clock.after(
                CALL_TIMEOUT_S - delay_s, self._answer, host, effect, None,
                0.0, boot)
            return
        self._answer(host, effect, result, delay_s, boot,
                     is_lost=result is None)

    def _rng_of(self, effect):
        return self.crash_rng if isinstance(
            effect, record_effects.WriteCrashes) else self.rng

    def _do_late(self, effect):
        if not self.world.store_down:
            _CALLS[type(effect)](self, effect)

    def _is_within_limit(self, effect):
        """Reads that need not be exact don't count."""
        if self.rate_limit is None or effect == _STALE_READ:
            return True
        now = self.world.clock.now
        while self.called_at and self.called_at[0] <= now - 1.0:
            self.called_at.popleft()
        if len(self.called_at) >= self.rate_limit:
            self.counts["limited"] += 1
            return False
        self.called_at.append(now)
        return True

    def _answer(self, host, effect, result, delay_s, boot=None,
                is_limited=False, is_lost=False):
        """Deliver the event of a result; None stands for a failed call."""
        event = _event(effect, result, is_limited, is_lost)
        if event is not None:
            self.world.clock.after(
                max(0.0, delay_s), host.receive_event,
                host.boot if boot is None else boot, event)

    def put(self, key, value, revision):
        """Replace an object of a revision; return the new one, or None."""
        number = revisions.number(revision)
        _, known = self.objects.get(key, (None, 0))
        if number != known or (
                number and revisions.era(revision) != self.world.era):
            return None
        self.number += 1
        self.objects[key] = value, self.number
        self._note_change()
        return revisions.combine(self.world.era, self.number)

    def remove(self, key, revision=0):
        """Remove an object, if it exists at a revision unless that is 0."""
        _, number = self.objects.get(key, (None, 0))
        wanted = revisions.combine(self.world.era, number)
        if number and revision in (0, wanted):
            del self.objects[key]
            self._note_change()

    def clear(self):
        """Remove all objects."""
        self.objects = {}
        self._note_change()

    def of_kind(self, kind):
        """Return the (value, number) of all objects of a kind."""
        return [found for (known, _), found in self.objects.items()
                if known == kind]

    def _note_change(self):
        self.former.append(
            (self.world.clock.now, dict(self.objects), self.number))

    def restore(self, taken_at):
        """Return to the objects of an earlier time."""
        _, objects, self.number = [
            row for row in self.former if row[0] <= taken_at][-1]
        self.objects = dict(objects)
        self._note_change()


def _read_versions(store, effect):
    found = []
    for (record, era), number in store.of_kind(VERSIONS):
        found.append(dataclasses.replace(
            record, is_complete=record.is_complete and era == store.world.era,
            revision=revisions.combine(store.world.era, number)))
    former_hosts = not found and any(
        host.is_former for host in store.world.hosts.values())
    return tuple(found), former_hosts


def _write_versions(store, effect):
    record = effect.record
    return store.put((VERSIONS, record.service), (record, store.world.era),
                     record.revision)


def _read_segments(store, effect):
    found = tuple(
        dataclasses.replace(segment, revision=revisions.combine(
            store.world.era, number))
        for segment, number in store.of_kind(SEGMENTS))
    store.sizes["read"] += sum(map(_size, found))
    return found, _read_versions(store, effect)[0]


def _write_segment(store, effect):
    store.sizes["written"] += _size(effect.segment)
    return store.put((SEGMENTS, effect.segment.name), effect.segment,
                     effect.revision)


def _delete_segments(store, effect):
    for name, revision in effect.segments:
        store.remove((SEGMENTS, name), revision)


def _read_crashes(store, effect):
    taken_at = math.inf if effect.is_exact else (
        store.world.clock.now - store.stale_s)
    objects = next(objects for at, objects, _ in reversed(store.former)
                   if at <= taken_at)
    rows, number = objects.get((CRASHES, ""), ((), 0))
    return rows, revisions.combine(store.world.era, number)


def _write_crashes(store, effect):
    return store.put((CRASHES, ""), effect.crashes, effect.revision)


def _size(segment):
    keys = sum(len(keys) for _, _, keys in segment.rows) / 8
    return round(SEGMENT_BYTES + keys * KEY_BYTES)


def _event(effect, result, is_limited, is_lost):
    match effect:
        case record_effects.ReadVersions():
            return record_events.VersionsRead(*(result or (None, False)))
        case record_effects.WriteVersions():
            return record_events.VersionsWritten(
                effect.record.service, result)
        case record_effects.ReadSegments():
            return record_events.SegmentsRead(
                *(result or (None, None)), is_limited)
        case record_effects.WriteSegment():
            return record_events.SegmentWritten(
                effect.segment.name, result, is_limited, is_lost)
        case record_effects.ReadCrashes():
            return record_events.CrashesRead(*(result or (None, None)))
        case record_effects.WriteCrashes():
            return record_events.CrashesWritten(result)
    return None


_STALE_READ = record_effects.ReadCrashes(is_exact=False)
_READS = (record_effects.ReadVersions, record_effects.ReadSegments,
          record_effects.ReadCrashes)
_CALLS = {
    record_effects.ReadVersions: _read_versions,
    record_effects.WriteVersions: _write_versions,
    record_effects.ReadSegments: _read_segments,
    record_effects.WriteSegment: _write_segment,
    record_effects.DeleteSegments: _delete_segments,
    record_effects.ReadCrashes: _read_crashes,
    record_effects.WriteCrashes: _write_crashes,
}
