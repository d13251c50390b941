"""Keeps records in the store, in kinds of our own.

An object of the first kind names the software versions of one service, an
object of the second kind is a segment of streams' origins. The one object of
the third kind holds crashes (stored_crashes).
"""

import base64
import re

from crocuskeel.core.entry import record_effects
from crocuskeel.core.entry import record_events
from crocuskeel.core.entry import stream_records
from crocuskeel.core import revisions
from crocuskeel.platform import exceptions
from crocuskeel.platform import objects
from crocuskeel.platform import store_watcher
from crocuskeel.platform import stored_crashes
from twisted.internet import defer

__all__ = ["SEGMENT_KIND", "VERSION_KIND", "new_record_executor"]

VERSION_KIND = "crocuskeel-versions"
SEGMENT_KIND = "crocuskeel-streams"
# Timeout of a write, s: streams that begin meanwhile wait for the next one.
WRITE_TIMEOUT_S = 1.0
# Status of a call above the store's rate of calls.
TOO_MANY_CALLS = 429
# Bounds of what an object may claim.
MAX_VERSIONS = 256
MAX_LIFE_S = 3600.0
# Names that hosts give to segments.
_SEGMENT_NAME = re.compile(r".+\.[0-9a-f]+\.[0-9]+")
# Stands for a segment of a host that can't be read.
UNREADABLE = object()
# What the look at an object of another form raises.
_INVALID = (AttributeError, KeyError, TypeError, ValueError)


class RecordExecutor:
    """Carries out effects on records; feeds the results to ``gateway``."""

    def __init__(self, reactor, gateway, store):
        self.reactor = reactor
        self.gateway = gateway
        self.store = store

    def __call__(self, effect):
        """Start an effect; its result is fed to the gateway as an event.

        That is done once, also after an unexpected error.
        """
        perform = EFFECT_HANDLERS[type(effect)]
        done = defer.Deferred.fromCoroutine(perform(self, effect))
        done.addErrback(self._failed, effect)
        done.addCallback(self._deliver)
        done.addErrback(self._crashed)

    def _failed(self, failure, effect):
        """Return the result of a call that failed, None if it has none."""
        exc = failure.value
        if isinstance(exc, exceptions.StoreError):
            self._log_failure(effect, exc)
        else:
            self._crashed(failure)
        match effect:
            case record_effects.ReadVersions():
                return record_events.VersionsRead(None)
            case record_effects.WriteVersions():
                return record_events.VersionsWritten(
                    effect.record.service, None)
            case record_effects.ReadSegments():
                return record_events.SegmentsRead(
                    None, is_limited=_is_limited(exc))
            case record_effects.WriteSegment():
                return record_events.SegmentWritten(
                    effect.segment.name, None, _is_limited(exc))
            case record_effects.ReadCrashes():
                return record_events.CrashesRead(None, None)
            case record_effects.WriteCrashes():
                return record_events.CrashesWritten(None)
        return None

    def _deliver(self, event):
        if event is not None:
            self.gateway.feed(event)

    def _crashed(self, failure):
        self.gateway.log("records_died", {
            "why": failure.getErrorMessage(),
            "where": failure.getBriefTraceback()})

    def _log_failure(self, effect, exc):
        self.gateway.log("records_call_failed", {
            "call": type(effect).__name__, "why": str(exc),
            "status": exc.status})

    async def read_versions(self, effect):
        """Read the versions of all services."""
        listing = await self.store.list(VERSION_KIND, self._version_record)
        former_hosts = not listing.items and await self._has_former_hosts()
        return record_events.VersionsRead(listing.items, former_hosts)

    async def _has_former_hosts(self):
        listing = await self.store.list(store_watcher.HOST_KIND, self._peer)
        return not all(listing.items)

    def _peer(self, obj):
        """Return whether a host writes records, None if it is none."""
        try:
            objects.peer(obj)
        except exceptions.InvalidObjectError:
            return None
        return objects.writes_records(obj)

    def _version_record(self, obj):
        try:
            service = objects.name(obj)
        except exceptions.InvalidObjectError as exc:
            self.gateway.log("bad_object", {"why": str(exc)})
            return None
        revision = 0
        try:
            revision = _revision(obj, self.store.era)
            return _decode_versions(obj, service, self.store.era, revision)
        except _INVALID as exc:
            # It is replaced, and may have named any version.
            self.gateway.log("bad_object", {"why": repr(exc)})
            return stream_records.VersionRecord(
                service, (), 0.0, False, revision)

    async def write_versions(self, effect):
        """Write a service's record, unless another host did meanwhile."""
        record = effect.record
        revision = await self._write(
            VERSION_KIND, record.service,
            {"Versions": list(record.versions), "LifeS": record.life_s,
             "Complete": record.is_complete, "Era": self.store.era,
             "Default": record.default},
            record.revision)
        return record_events.VersionsWritten(record.service, revision)

    async def _write(self, kind, name, spec, revision):
        """Return the new revision, or None."""
        if not revisions.number(revision):
            revision = revisions.combine(self.store.era, 0)
        return await self.store.write(
            kind, name, spec, revision, WRITE_TIMEOUT_S)

    async def read_segments(self, effect):
        """Read all segments, and after that the versions of all services.

        A default version that was recorded before a stream began must be seen
        if the stream is in no segment. If a segment can't be read, streams may
        be missing, and none of the defaults counts.
        """
        listing = await self.store.list(SEGMENT_KIND, self._segment)
        segments = tuple(segment for segment in listing.items
                         if segment is not UNREADABLE)
        if len(segments) < len(listing.items):
            return record_events.SegmentsRead(segments, ())
        versions = await self.store.list(VERSION_KIND, self._version_record)
        return record_events.SegmentsRead(segments, versions.items)

    def _segment(self, obj):
        """Return the Segment of an object, UNREADABLE, or None.

        An object whose name no host gives is of another writer.
        """
        try:
            name = objects.name(obj)
        except exceptions.InvalidObjectError as exc:
            self.gateway.log("bad_object", {"why": repr(exc)})
            return None
        try:
            return _decode_segment(name, obj, self.store.era)
        except _INVALID as exc:
            self.gateway.log("bad_object", {"why": repr(exc)})
            return UNREADABLE if _SEGMENT_NAME.fullmatch(name) else None

    async def write_segment(self, effect):
        """Write a segment."""
        segment = effect.segment
        revision = await self._write(
            SEGMENT_KIND, segment.name, _encode_segment(segment),
            effect.revision)
        return record_events.SegmentWritten(
            segment.name, revision, is_lost=revision is None)

    async def delete_segments(self, effect):
        """Delete segments, one after the other."""
        for name, revision in effect.segments:
            try:
                await self.store.delete(SEGMENT_KIND, name, revision)
            except exceptions.StoreError as exc:
                self._log_failure(effect, exc)

    async def read_crashes(self, effect):
        """Read the crashes; an object of another form holds none."""
        revision, obj = await self.store.read(
            stored_crashes.KIND, stored_crashes.NAME, not effect.is_exact)
        rows, errors = stored_crashes.decode(obj)
        if errors:
            self.gateway.log("bad_object", {
                "why": f"{errors} crashes are not valid"})
        return record_events.CrashesRead(rows, revision)

    async def write_crashes(self, effect):
        """Replace the crashes."""
        revision = await self._write(
            stored_crashes.KIND, stored_crashes.NAME,
            stored_crashes.encode(effect.crashes), effect.revision)
        return record_events.CrashesWritten(revision)

    async def schedule_segment(self, effect):
        """Deliver the event for the next write at its time."""
        delay_s = max(0.0, effect.at - self.reactor.seconds())
        self.reactor.callLater(
            delay_s, self.gateway.feed, record_events.SegmentDue())


def _is_limited(exc):
    return (isinstance(exc, exceptions.StoreError)
            and exc.status == TOO_MANY_CALLS)


def _decode_versions(obj, service, era, revision):
    spec = obj["Spec"]
    versions = spec["Versions"]
    if not isinstance(versions, list) or len(versions) > MAX_VERSIONS or (
            not all(map(objects.is_software_version, versions))):
        raise ValueError("invalid Versions")
    life_s = spec["LifeS"]
    if isinstance(life_s, bool) or not 0 <= life_s <= MAX_LIFE_S:
        raise ValueError("invalid LifeS")
    is_current = spec.get("Era") == era and spec["Era"] is not True
    default = spec.get("Default")
    if default is not None and default not in versions:
        raise ValueError("invalid Default")
    return stream_records.VersionRecord(
        service, tuple(versions), float(life_s),
        is_current and spec.get("Complete") is True, revision, default)


def _revision(obj, era):
    number = obj["Meta"]["Rev"]
    if isinstance(number, bool) or not 0 < number == revisions.number(number):
        raise ValueError(f"invalid revision {number!r}")
    return revisions.combine(era, number)


def _encode_segment(segment):
    return {"Origins": [
        {"Service": service, "Version": version,
         "Keys": base64.b64encode(keys).decode()}
        for service, version, keys in segment.rows]}


def _decode_segment(name, obj, era):
    rows = tuple(_decode_row(row) for row in obj["Spec"]["Origins"])
    return stream_records.Segment(name, rows, _revision(obj, era))


def _decode_row(row):
    service, version, text = row["Service"], row["Version"], row["Keys"]
    if not (objects.is_name(service)
            and objects.is_software_version(version)):
        raise ValueError("invalid Service or Version")
    keys = base64.b64decode(text, validate=True)
    if len(keys) % stream_records.KEY_BYTES:
        raise ValueError("invalid length of Keys")
    return service, version, keys


EFFECT_HANDLERS = {
    record_effects.ReadVersions: RecordExecutor.read_versions,
    record_effects.WriteVersions: RecordExecutor.write_versions,
    record_effects.ReadSegments: RecordExecutor.read_segments,
    record_effects.WriteSegment: RecordExecutor.write_segment,
    record_effects.DeleteSegments: RecordExecutor.delete_segments,
    record_effects.ScheduleSegment: RecordExecutor.schedule_segment,
    record_effects.ReadCrashes: RecordExecutor.read_crashes,
    record_effects.WriteCrashes: RecordExecutor.write_crashes,
}


def new_record_executor(reactor, gateway, store):
    """Return an executor of the effects of core.entry.record_effects."""
    return RecordExecutor(reactor, gateway, store)
