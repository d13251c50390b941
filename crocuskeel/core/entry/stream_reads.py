"""Finds streams in the segments that hosts wrote to the store.

A stream that is in no segment began at its service's default version
(version_history), as those of other versions are written before their first
event is forwarded.

Load: a host reads as often as READ_INTERVAL_S at most, for streams that no
host remembers, while a service has several versions. The first host reads once
a start, and each CLEAN_INTERVAL_S while there are segments to delete.
"""

import math

from crocuskeel.core.entry import model
from crocuskeel.core.entry import origins
from crocuskeel.core.entry import record_effects
from crocuskeel.core.entry import stream_records as records

__all__ = ["asked_since", "clean", "find", "has_read_since", "is_failing",
           "is_in_no_segment", "is_one_of_several", "names_all",
           "note_settled", "questions", "read", "read_late", "request_read",
           "sought_since", "step", "wait_for_read"]

READ_INTERVAL_S = 0.25
# The first host looks for segments to delete as often as this, s.
CLEAN_INTERVAL_S = 30.0
# Segments are deleted once they were seen for this long, s, or for the life of
# streams and the margin: all streams in them have ended.
SEEN_MARGIN_S = 10.0
MAX_SEEN_S = origins.MAX_LIFE_S + SEEN_MARGIN_S
# The interval doubles with each read that failed, up to this, s.
MAX_INTERVAL_S = 4.0
# It does so only up to this while the store takes no more calls, s: a search
# gets at least two further reads within lookups.STORE_TIMEOUT_S.
MAX_LIMITED_INTERVAL_S = 0.5
# A stream that was not found is read for again after this, s: a write without
# an answer may be done late.
LATE_READ_S = 1.0
# Streams that are sought here, and by others, each since when.
MAX_SOUGHT = 4096
SOUGHT_S = 61.0
# After a read that took long there is none for so many times its duration.
READ_PAUSE_FACTOR = 2.0
# Segments that were read are dropped after this, s.
READ_KEPT_S = 5.0
# Questions of other hosts that wait for a read, and for how long they wait
# for further ones while the store takes no more calls, s.
MAX_QUESTIONS = 1024
QUESTION_S = 1.0


def request_read(host, now):
    """Read the segments, unless that was just done; return effects."""
    log = host.streams.log
    interval_s = min(
        MAX_LIMITED_INTERVAL_S if log.is_limited else MAX_INTERVAL_S,
        READ_INTERVAL_S * 2 ** min(log.read_failures, 8))
    if log.is_reading or now < max(
            log.read_began_at + interval_s,
            log.read_at + READ_PAUSE_FACTOR * log.read_took_s):
        return []
    return _begin(log, now)


def read_late(host, now):
    """Read again for streams that were not found; return effects."""
    if now < host.streams.log.read_began_at + LATE_READ_S:
        return []
    return request_read(host, now)


def sought_since(host, key, now):
    """Return since when this host seeks a stream."""
    return _since(host.streams.log.sought, key, now)


def asked_since(host, key, now):
    """Return since when other hosts ask for a stream."""
    return _since(host.streams.log.asked, key, now)


def _since(table, key, now):
    if key not in table:
        table[key] = now
        if len(table) > MAX_SOUGHT:
            table.pop(next(iter(table)))
    return table[key]


def _begin(log, now):
    log.is_reading = True
    log.read_began_at = now
    return [record_effects.ReadSegments()]


def note_settled(host, is_settled, now):
    """Note whether all services have one version.

    The segments of the last one that had several can be deleted then, and
    those of others now and then.
    """
    log = host.streams.log
    if is_settled != log.is_settled:
        log.is_settled = is_settled
        log.clean_at = now if is_settled else now + CLEAN_INTERVAL_S
    if not is_settled:
        log.must_clean = True


def clean(host, now):
    """Look for segments of services that have one version again.

    Those of hosts that were killed are deleted by nobody else. Returns
    effects.
    """
    log = host.streams.log
    if not log.must_clean or now < log.clean_at:
        return []
    out = request_read(host, now)
    if out:
        log.is_cleaning = True
        log.clean_at = now + CLEAN_INTERVAL_S
    return out


def _max_seen_s(host):
    """Return for how long segments are seen until their streams have ended."""
    return max(MAX_SEEN_S, origins.life_s(host) + SEEN_MARGIN_S)


def _delete_ended(host, now):
    """Have segments deleted whose streams need not be found any more.

    The records were read after the segments, and name each version of which
    there may be streams.
    """
    log = host.streams.log
    if not log.read_failures:
        log.seen = {segment.name: log.seen.get(segment.name, now)
                    for segment in log.segments}
    ended = [segment for segment in log.segments
             if now >= log.seen[segment.name] + _max_seen_s(host)
             or all(_has_ended(host, service, version)
                    for service, version, _ in segment.rows)]
    log.must_clean = len(ended) < len(log.segments) or log.read_failures > 0
    if log.read_failures:
        log.clean_at = log.read_at + MAX_INTERVAL_S * log.is_limited
    log.ended.update(
        (segment.name, segment.revision) for segment in ended
        if segment.name != log.name and segment.name not in log.writing)


def is_one_of_several(host, service):
    """Return whether routes of streams lead to other services as well."""
    return host.catalog is None or any(
        len(services) > 1 and service in services
        for routes in host.catalog.routes.values() for route in routes
        if route.resumable
        for services in (dict(route.split), ))


def _has_ended(host, service, version):
    """Return whether streams of a version are over, or found without a row."""
    record = host.streams.log.defaults.get(service)
    return record is not None and record.versions == (record.default, ) and (
        version != record.default or not is_one_of_several(host, service))


def wait_for_read(host, question, now):
    """Have a question wait until segments were read; return effects."""
    log = host.streams.log
    if len(log.questions) < MAX_QUESTIONS:
        log.questions.append((now, question))
    return request_read(host, now)


def questions(host):
    """Return the questions that a read can answer that has just ended.

    While the store takes no more calls, they wait for another one.
    """
    log = host.streams.log
    until = log.read_began_at
    if log.is_limited:
        until = min(until, log.read_at - QUESTION_S)
    found = [question for at, question in log.questions if at <= until]
    log.questions = [(at, question) for at, question in log.questions
                     if at > until]
    return found


def has_read_since(host, at):
    """Return whether a read has ended that began then or later.

    One that failed counts, too: whoever waits for it need not wait longer,
    unless the store may take the next call.
    """
    log = host.streams.log
    return (not log.is_reading and log.read_began_at >= at
            and not log.is_limited)


def is_failing(host):
    """Return whether the latest read failed and no other one has begun.

    It hasn't if the store may take the next call.
    """
    log = host.streams.log
    return (log.read_failures > 0 and not log.is_reading
            and not log.is_limited)


def step(host, now):
    """Read for the questions that wait; return effects."""
    log = host.streams.log
    for table in (log.sought, log.asked):
        while table and next(iter(table.values())) <= now - SOUGHT_S:
            table.pop(next(iter(table)))
    if not log.is_reading and now >= log.read_at + READ_KEPT_S:
        _forget(log)
    return request_read(host, now) if log.questions else []


def _forget(log):
    """Drop what was read; streams that are sought are read for again."""
    log.segments = ()
    log.defaults = {}
    log.read_began_at = -math.inf


def read(host, event, now):
    """Note the segments and the default versions."""
    log = host.streams.log
    log.is_reading = False
    log.read_at = now
    log.read_took_s = now - log.read_began_at
    log.read_failures = 0 if event.segments is not None else (
        log.read_failures + 1)
    log.is_limited = event.is_limited
    log.segments = event.segments or ()
    log.defaults = {record.service: record
                    for record in event.records or ()
                    if record.is_complete and record.default is not None}
    is_cleaning, log.is_cleaning = log.is_cleaning, False
    if is_cleaning:
        _delete_ended(host, now)


def find(host, service, key, since=None):
    """Return (Origin or None, whether it was in a segment).

    Without a segment it began at the service's default version, if the read
    began at ``since`` or later and has succeeded. None if the segments
    disagree: the stream's request was tried at several versions, by hosts of
    which nobody knows who was last.
    """
    log = host.streams.log
    wanted = bytes.fromhex(key)
    latest = {}
    for segment in log.segments:
        writer, number = _split(segment.name)
        for found_service, version, keys in segment.rows:
            if _contains(keys, wanted):
                origin = model.Origin(found_service, version)
                latest[writer] = max(
                    latest.get(writer, (-1, origin)), (number, origin),
                    key=lambda row: row[0])
    found = {origin for _, origin in latest.values()}
    if found:
        return (found.pop() if len(found) == 1 else None), True
    record = log.defaults.get(service)
    if since is None or record is None or not has_read_since(host, since):
        return None, False
    return model.Origin(service, record.default), False


def is_in_no_segment(host, service, key, since):
    """Return whether a read that began since has shown that no segment has it.

    It began at the service that its name leads to.
    """
    _, is_written = find(host, service, key, since)
    return not (is_written or host.streams.log.read_failures) and (
        has_read_since(host, since))


def names_all(host, service, versions):
    """Return whether the record that was read names all these versions."""
    record = host.streams.log.defaults.get(service)
    return record is not None and versions <= frozenset(record.versions)


def _split(name):
    """Return the writer of a segment and its number there."""
    writer, _, number = name.rpartition(".")
    return (writer, int(number)) if number.isdecimal() else (name, 0)


def _contains(keys, wanted):
    at = keys.find(wanted)
    while at >= 0 and at % records.KEY_BYTES:
        at = keys.find(wanted, at + 1)
    return at >= 0
