"""Datagrams with questions for records, of the store or of durations."""

from crocuskeel.core.entry import duration_events
from crocuskeel.core.entry import record_events
from crocuskeel.gateway import datagram_checks as checks

__all__ = ["MARKS", "decode", "fields"]

# First field of a datagram with a question for records, and with records.
ASKED_MARK = 8
TOLD_MARK = 9
# The same for how long requests took.
DURATIONS_ASKED_MARK = 10
DURATIONS_TOLD_MARK = 11
MARKS = (ASKED_MARK, TOLD_MARK, DURATIONS_ASKED_MARK, DURATIONS_TOLD_MARK)
# Most that a record may claim for the life of streams, s.
MAX_LIFE_S = 3600
# Most that a sample of a duration may claim, ms, tokens and events.
MAX_SAMPLE = 1 << 32


def fields(event):
    """Return the fields of an event's datagram, None if it is of others."""
    match event:
        case record_events.RecordsAsked():
            return ASKED_MARK, event.name
        case record_events.RecordsTold():
            return TOLD_MARK, event.name, event.servers_revision, event.rows
        case duration_events.DurationsAsked():
            return DURATIONS_ASKED_MARK, event.name
        case duration_events.DurationsTold():
            return DURATIONS_TOLD_MARK, event.name, event.rows
    return None


def decode(mark, rest):
    """Return the event of a datagram's other fields; raises ValueError."""
    if mark in (ASKED_MARK, DURATIONS_ASKED_MARK):
        (name, ) = rest
        _require(checks.is_text(name), name)
        if mark == ASKED_MARK:
            return record_events.RecordsAsked(name)
        return duration_events.DurationsAsked(name)
    if mark == DURATIONS_TOLD_MARK:
        name, rows = rest
        _require(checks.is_text(name), name)
        return duration_events.DurationsTold(name, tuple(
            _durations_row(*row) for row in rows))
    name, revision, rows = rest
    _require(checks.is_text(name) and checks.is_revision(revision), name)
    return record_events.RecordsTold(
        name, revision, tuple(_row(*row) for row in rows))


def _row(service, versions, life_s, revision, default):
    _require(checks.is_text(service) and checks.is_texts(versions)
             and checks.is_number(life_s) and 0 <= life_s <= MAX_LIFE_S
             and checks.is_revision(revision)
             and checks.is_text(default) and default in versions, service)
    return service, versions, life_s, revision, default


def _durations_row(service, route, is_prompt, samples):
    _require(checks.is_texts((service, route)) and type(is_prompt) is bool
             and all(len(sample) == 4 and all(
                 checks.is_count(value) and 0 <= value <= MAX_SAMPLE
                 for value in sample) and sample[2] for sample in samples),
             service)
    return service, route, is_prompt, samples


def _require(is_valid, value):
    if not is_valid:
        raise ValueError(f"invalid records: {str(value)[:100]!a}")
