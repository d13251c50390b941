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
from crocuskeel.ops import stories
from crocuskeel import timeline
from result import Err
from result import Ok

__all__ = ["draw", "explain", "parse_time"]

_AGO = re.compile(r"^(\d+(?:\.\d+)?)([smh])$")
_UNITS = {"s": 1.0, "m": 60.0, "h": 3600.0}
_MAX_BAD_NAMED = 5


async def explain(session, args):
    """``explain``: the story of one request."""
    told = _from_entry_logs(session, args)
    if told is not None:
        return told
    if args.file:
        read, notes = _read_files(session, args.file), ()
    else:
        read, notes = await _ask_about(session, args.request)
    if read.is_err():
        return read
    found = read.unwrap()
    notes += _bad_notes(found.bad)
    story = stories.explain(timeline.merge(found.events), args.request)
    if story is None:
        return Err(_no_story(args, notes))
    body = dataclasses.asdict(story)
    return Ok(Report(_story(body), body, notes))


def _from_entry_logs(session, args):
    """Return the story if the files are logs of entry hosts, or None."""
    texts = [files.read(session, name) for name in args.file]
    rows, bad = entry_logs.read(
        [text.unwrap() for text in texts if text.is_ok()])
    found = entry_logs.find(rows, args.request)
    if not found:
        return None
    notes = (f"{bad} lines could not be read",) if bad else ()
    notes += tuple(str(text.unwrap_err()) for text in texts
                   if text.is_err())
    return Ok(Report(entry_logs.tell(found, args.request), found, notes))


def _no_story(args, notes):
    host = stories.host_of(args.request)
    taken = f"it was taken by {host}" if host else "is the id whole?"
    lines = (f"no event of request {args.request}; {taken}", *notes)
    return Failure(
        Code.NOT_FOUND, "\n".join(lines),
        "Rings hold only the last events, and those of a host that is "
        "gone are gone: read the logs with --file.")


async def _ask_about(session, rid):
    """Ask all rings for the request, then for what went on meanwhile."""
    read, notes = await _ask_rings(
        session, timeline.Selection(requests=(rid,)))
    if read.is_err() or not read.unwrap().events:
        return read, notes
    own = read.unwrap()
    stamps = [event.stamp.ms / 1000 for event in own.events]
    context, _notes = await _ask_rings(session, timeline.Selection(
        kinds=stories.context_kinds(), since=min(stamps),
        until=max(stamps)))
    if context.is_err():
        return Ok(own), notes
    return Ok(timeline.join((own, context.unwrap()))), notes


def _story(body):
    end = body["reason"] or "whole answer"
    if body["outcome"] == "open":
        end = "no answer yet"
    head = (
        f"request {body['rid']}: {end}, outcome {body['outcome']}\n"
        f"class {body['class_name'] or '-'}, tier {body['tier'] or '-'}, "
        f"workspace {body['workspace'] or '-'}, cell "
        f"{body['cell'] or '-'}, settings generation "
        f"{body['generation']}\n"
        f"waited {body['waited_s']:g} s in queues\n")
    if body["hint"]:
        head += f"what to do: {body['hint']}\n"
    parts = [head]
    if body["attempts"]:
        parts.append(tables.table(
            ("ATTEMPT", "ENGINE", "BY", "WAITED S", "SENT", "END"),
            [_attempt(each) for each in body["attempts"]]))
    parts.append(tables.table(
        ("AFTER S", "HOST", "WHAT HAPPENED"),
        [(f"{step['after_s']:.3f}", step["host"],
          ("  meanwhile: " if step["context"] else "") + step["text"])
         for step in body["steps"]]))
    return "\n".join(parts)


def _attempt(each):
    return (each["number"], each["engine"] or "-", each["rule"] or "-",
            each["waited_s"], "yes" if each["opened"] else "no",
            each["end"] or "-")


async def draw(session, args):
    """``timeline``: events of files, or of live hosts' rings."""
    wanted = _selection(session, args)
    if wanted.is_err():
        return wanted
    if args.files:
        read = _read_files(session, args.files)
        notes = ()
    else:
        read, notes = await _ask_rings(session, wanted.unwrap())
    if read.is_err():
        return read
    found = read.unwrap()
    events = timeline.select(
        timeline.merge(found.events), wanted.unwrap())
    notes += _bad_notes(found.bad)
    if not events:
        return Err(Failure(
            Code.NOT_FOUND, "no events" + "".join(
                f"\n{note}" for note in notes),
            "Widen the filters; rings hold only the last events."))
    return _drawn(session, args, events, found.bad, notes)


def _drawn(session, args, events, bad, notes):
    data = {"events": [timeline.to_dict(event) for event in events],
            "bad": [str(each) for each in bad]}
    if not args.html:
        return Ok(Report(timeline.draw_text(events), data, notes))
    page = timeline.draw_page(events, bad)
    written = files.write(session, args.html, page)
    return written.map(lambda name: Report(
        f"{len(events)} events drawn in {name}\n",
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


async def _ask_rings(session, wanted):
    asked = await fleet.ask_fleet(
        session.client, "/ops/timeline", _query(wanted))
    if asked.is_err():
        return asked, ()
    found = asked.unwrap()
    rings = [timeline.parse_ring(answer["events"], host)
             for host, answer in sorted(found.answers.items())]
    notes = [f"no answer from {host}: {why}"
             for host, why in sorted(found.missing.items())]
    notes += [f"{host}: {answer['left_out']} older events left out"
              for host, answer in sorted(found.answers.items())
              if answer["left_out"]]
    return Ok(timeline.join(rings)), tuple(notes)


def _query(wanted):
    query = {"request": wanted.requests, "batch": wanted.batches,
             "host": wanted.hosts, "kind": wanted.kinds}
    for name in ("since", "until"):
        value = getattr(wanted, name)
        if value is not None:
            query[name] = repr(value)
    return query


def _bad_notes(bad):
    if not bad:
        return ()
    named = tuple(str(each) for each in bad[:_MAX_BAD_NAMED])
    more = len(bad) - len(named)
    rest = (f"and {more} more",) if more else ()
    return (f"{len(bad)} lines could not be read:", *named, *rest)


def _selection(session, args):
    times = {}
    for name in ("since", "until"):
        text = getattr(args, name)
        parsed = parse_time(text, session.wall()) if text else Ok(None)
        if parsed.is_err():
            return parsed
        times[name] = parsed.unwrap()
    return Ok(timeline.Selection(
        requests=tuple(args.request), batches=tuple(args.batch),
        hosts=tuple(args.on), kinds=tuple(args.kind), **times))


def parse_time(text, now):
    """Return Ok of Unix seconds or Err(Failure).

    ``text`` is a span ago (``90s``, ``5m``, ``2h``), Unix seconds or an
    ISO 8601 time, in UTC unless it says otherwise.
    """
    ago = _AGO.match(text)
    if ago:
        return Ok(now - float(ago[1]) * _UNITS[ago[2]])
    try:
        return Ok(float(text))
    except ValueError:
        pass
    try:
        moment = datetime.datetime.fromisoformat(text)
    except ValueError:
        return Err(Failure(
            Code.USAGE, f"{text!r} is not a time",
            "Examples: 5m (ago), 2026-12-02T18:30:00, 1793000000"))
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=datetime.timezone.utc)
    return Ok(moment.timestamp())
