"""The commands ``explain`` and ``timeline``."""

import dataclasses
import datetime
import re

from crocuskeel.ctl import entry_logs
from crocuskeel.ctl import files
from crocuskeel.ctl import fleet
from crocuskeel.ctl.results import Code
from crocuskeel.ctl.results import Failure
from crocuskeel.ctl.results import Report
from crocuskeel.ctl import tables
from crocuskeel.ops import explanations
from crocuskeel import timeline
from result import Err
from result import Ok

__all__ = ["explain", "parse_time", "show_timeline"]

_TIME_AGO = re.compile(r"^(\d+(?:\.\d+)?)([smh])$")
_UNITS = {"s": 1.0, "m": 60.0, "h": 3600.0}
_MAX_LISTED_LINES = 5


async def explain(session, args):
    """``explain``: what happened to one request."""
    report = _from_entry_logs(session, args)
    if report is not None:
        return report
    if args.file:
        result, notes = _read_files(session, args.file), ()
    else:
        result, notes = await _fetch_request_events(session, args.request)
    if result.is_err():
        return result
    found = result.unwrap()
    notes += _invalid_line_notes(found.invalid)
    explanation = explanations.explain(
        timeline.merge(found.events), args.request)
    if explanation is None:
        return Err(_not_found(args, notes))
    body = dataclasses.asdict(explanation)
    return Ok(Report(_format_explanation(body), body, notes))


def _from_entry_logs(session, args):
    """Return the report if the files are logs of entry hosts, or None."""
    texts = [files.read(session, name) for name in args.file]
    rows, invalid = entry_logs.parse(
        [text.unwrap() for text in texts if text.is_ok()])
    found = entry_logs.find(rows, args.request)
    if not found:
        return None
    notes = (f"{invalid} lines could not be read",) if invalid else ()
    notes += tuple(str(text.unwrap_err()) for text in texts
                   if text.is_err())
    return Ok(Report(
        entry_logs.format_rows(found, args.request), found, notes))


def _not_found(args, notes):
    host = explanations.host_of(args.request)
    origin = (f"it was received by {host}" if host
              else "is the id complete?")
    lines = (f"no event of request {args.request}; {origin}", *notes)
    return Failure(
        Code.NOT_FOUND, "\n".join(lines),
        "Hosts keep only their most recent events in memory, and lose "
        "them when they stop: read the logs with --file.")


async def _fetch_request_events(session, rid):
    """Fetch a request's events from all hosts, then context events."""
    result, notes = await _fetch_events(
        session, timeline.Selection(requests=(rid,)))
    if result.is_err() or not result.unwrap().events:
        return result, notes
    request_events = result.unwrap()
    stamps = [event.stamp.ms / 1000 for event in request_events.events]
    context, _notes = await _fetch_events(session, timeline.Selection(
        kinds=explanations.context_kinds(), since=min(stamps),
        until=max(stamps)))
    if context.is_err():
        return Ok(request_events), notes
    return Ok(timeline.join((request_events, context.unwrap()))), notes


def _format_explanation(body):
    end = body["reason"] or "complete response"
    if body["outcome"] == "open":
        end = "no response yet"
    heading = (
        f"request {body['rid']}: {end}, outcome {body['outcome']}\n"
        f"class {body['class_name'] or '-'}, tier {body['tier'] or '-'}, "
        f"workspace {body['workspace'] or '-'}, cell "
        f"{body['cell'] or '-'}, settings generation "
        f"{body['generation']}\n"
        f"waited {body['waited_s']:g} s in queues\n")
    if body["hint"]:
        heading += f"hint: {body['hint']}\n"
    parts = [heading]
    if body["attempts"]:
        parts.append(tables.table(
            ("ATTEMPT", "ENGINE", "BY", "WAITED S", "SENT", "END"),
            [_attempt_row(each) for each in body["attempts"]]))
    parts.append(tables.table(
        ("AFTER S", "HOST", "WHAT HAPPENED"),
        [(f"{step['after_s']:.3f}", step["host"],
          ("  meanwhile: " if step["context"] else "") + step["text"])
         for step in body["steps"]]))
    return "\n".join(parts)


def _attempt_row(each):
    return (each["number"], each["engine"] or "-", each["rule"] or "-",
            each["waited_s"], "yes" if each["opened"] else "no",
            each["end"] or "-")


async def show_timeline(session, args):
    """``timeline``: events of files, or recent events of live hosts."""
    selection = _selection(session, args)
    if selection.is_err():
        return selection
    if args.files:
        result = _read_files(session, args.files)
        notes = ()
    else:
        result, notes = await _fetch_events(session, selection.unwrap())
    if result.is_err():
        return result
    found = result.unwrap()
    events = timeline.select(
        timeline.merge(found.events), selection.unwrap())
    notes += _invalid_line_notes(found.invalid)
    if not events:
        return Err(Failure(
            Code.NOT_FOUND, "no events" + "".join(
                f"\n{note}" for note in notes),
            "Widen the filters; hosts keep only their most recent events."))
    return _timeline_report(session, args, events, found.invalid, notes)


def _timeline_report(session, args, events, invalid, notes):
    data = {"events": [timeline.to_dict(event) for event in events],
            "bad": [str(each) for each in invalid]}
    if not args.html:
        return Ok(Report(timeline.render_text(events), data, notes))
    page = timeline.render_page(events, invalid)
    written = files.write(session, args.html, page)
    return written.map(lambda name: Report(
        f"{len(events)} events written to {name}\n",
        {"html": name, "events": len(events)}, notes))


def _read_files(session, names):
    parsed = []
    for name in names:
        text = files.read(session, name)
        if text.is_err():
            return text
        parsed.append(timeline.parse_lines(
            text.unwrap().splitlines(), name))
    return Ok(timeline.join(parsed))


async def _fetch_events(session, selection):
    result = await fleet.request_all(
        session.client, "/ops/timeline", _query(selection))
    if result.is_err():
        return result, ()
    found = result.unwrap()
    rings = [timeline.parse_ring(response["events"], host)
             for host, response in sorted(found.responses.items())]
    notes = [f"no response from {host}: {reason}"
             for host, reason in sorted(found.missing.items())]
    notes += [f"{host}: {response['left_out']} older events left out"
              for host, response in sorted(found.responses.items())
              if response["left_out"]]
    return Ok(timeline.join(rings)), tuple(notes)


def _query(selection):
    query = {"request": selection.requests, "batch": selection.batches,
             "host": selection.hosts, "kind": selection.kinds}
    for name in ("since", "until"):
        value = getattr(selection, name)
        if value is not None:
            query[name] = repr(value)
    return query


def _invalid_line_notes(invalid):
    if not invalid:
        return ()
    listed = tuple(str(each) for each in invalid[:_MAX_LISTED_LINES])
    more = len(invalid) - len(listed)
    rest = (f"and {more} more",) if more else ()
    return (f"{len(invalid)} lines could not be read:", *listed, *rest)


def _selection(session, args):
    times = {}
    for name in ("since", "until"):
        text = getattr(args, name)
        parsed = parse_time(text, session.wall_clock()) if text else Ok(None)
        if parsed.is_err():
            return parsed
        times[name] = parsed.unwrap()
    return Ok(timeline.Selection(
        requests=tuple(args.request), batches=tuple(args.batch),
        hosts=tuple(args.on), kinds=tuple(args.kind), **times))


def parse_time(text, now):
    """Return Ok of Unix seconds or Err(Failure).

    ``text`` is a time before now (``90s``, ``5m``, ``2h``), Unix seconds
    or an ISO 8601 time, in UTC unless it has a time zone.
    """
    ago = _TIME_AGO.match(text)
    if ago:
        return Ok(now - float(ago[1]) * _UNITS[ago[2]])
    try:
        return Ok(float(text))
    except ValueError:
        pass
    try:
        time = datetime.datetime.fromisoformat(text)
    except ValueError:
        return Err(Failure(
            Code.USAGE, f"{text!r} is not a time",
            "Examples: 5m (ago), 2026-12-02T18:30:00, 1793000000"))
    if time.tzinfo is None:
        time = time.replace(tzinfo=datetime.timezone.utc)
    return Ok(time.timestamp())
