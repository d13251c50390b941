"""Explains what happened to one request, from the timeline.

The host that received a request records each decision about it: where
it waited, which slot it was granted, how each attempt ended and the
reason for the response; the dispatcher records the rule by which it
granted or shed the request. Events about its engines, its cell and the
settings in the same period are included as context, as they are often
the cause.
"""

import dataclasses

from crocuskeel.core import problems
from crocuskeel.ops import descriptions
from crocuskeel import timeline

__all__ = ["Attempt", "Explanation", "Step", "context_kinds", "explain",
           "host_of"]

_RID_PARTS = 3
_FINAL_KINDS = frozenset({"answered", "refused"})


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt; ``engine`` is empty if it got no slot.

    ``rule`` is why the dispatcher granted (``tier``, ``floor``) or shed
    it, empty if the dispatcher's events are not available. ``waited_s``
    is the time in the queue; ``end`` is an ``AttemptEnd``, empty if the
    attempt was not opened or is still open.
    """

    number: int
    engine: str = ""
    rule: str = ""
    waited_s: float = 0.0
    opened: bool = False
    end: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """One event; ``after_s`` is the time since the request's first event."""

    after_s: float
    host: str
    kind: str
    text: str
    context: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """What happened to a request.

    ``outcome`` is the outcome sent to the caller: ``ran``, ``not_run``,
    ``unknown``, or ``open`` while there is no response. ``reason`` is
    the refusal's code, empty for a complete response; ``hint`` says what
    an operator can do about it.
    """

    rid: str
    class_name: str
    workspace: str
    tier: int
    generation: int
    cell: str
    outcome: str
    reason: str
    hint: str
    waited_s: float
    attempts: tuple[Attempt, ...]
    steps: tuple[Step, ...]


def context_kinds():
    """Return the kinds of events that may be context of a request."""
    return descriptions.CONTEXT_KINDS


def host_of(rid):
    """Return the host that received a request, "" for a malformed rid."""
    parts = rid.split(".")
    return parts[0] if len(parts) == _RID_PARTS else ""


def explain(events, rid):
    """Return the :class:`Explanation` of a request, None without events.

    ``events`` are merged instances of :class:`crocuskeel.timeline.Event`.
    """
    request_events = [event for event in events if event.rid == rid]
    if not request_events:
        return None
    attempts = _attempts(request_events)
    fields = _last_fields(request_events)
    outcome, reason = _final_outcome(request_events)
    return Explanation(
        rid=rid,
        class_name=str(fields.get("class", "")),
        workspace=str(fields.get("workspace", "")),
        tier=int(fields.get("tier", 0)),
        generation=int(fields.get("generation", request_events[0].generation)),
        cell=str(fields.get("cell", "")),
        outcome=outcome,
        reason=reason,
        hint=descriptions.hint(reason),
        waited_s=round(sum(each.waited_s for each in attempts), 3),
        attempts=attempts,
        steps=_steps(events, request_events))


def _last_fields(request_events):
    found = {}
    for event in request_events:
        found.update(event.fields)
    return found


def _final_outcome(request_events):
    """Return the outcome and the reason that were sent to the caller."""
    final_events = [event for event in request_events
                    if event.kind in _FINAL_KINDS]
    if not final_events:
        return "open", ""
    # A dispatcher's refusal is recorded before the response that results.
    last = final_events[-1]
    reason = str(last.get("reason", ""))
    default = problems.Outcome.NOT_RUN if reason else problems.Outcome.RAN
    return str(last.get("outcome", default)), reason


def _attempts(request_events):
    found = {}
    queued = {}
    for event in request_events:
        number = int(event.get("attempt", 0))
        if event.kind == "enqueued":
            queued[number] = event
            found[number] = Attempt(number)
        elif number in found:
            found[number] = _apply_event(found[number], event, queued[number])
    return tuple(found[number] for number in sorted(found))


def _apply_event(attempt, event, queued):
    match event.kind:
        case "granted" | "shed" if event.get("reason"):
            return dataclasses.replace(
                attempt, rule=str(event.get("reason")))
        case "granted":
            return dataclasses.replace(
                attempt, engine=str(event.get("engine", "")),
                waited_s=_queue_time(queued, event))
        case "refused" | "answered" if not attempt.engine:
            return dataclasses.replace(
                attempt, waited_s=_queue_time(queued, event))
        case "opened":
            return dataclasses.replace(attempt, opened=True)
        case "closed":
            return dataclasses.replace(
                attempt, end=str(event.get("end", "")))
    return attempt


def _queue_time(queued, event):
    # Both waited_s are measured from the request's arrival.
    waited_s = event.get("waited_s", 0.0) - queued.get("waited_s", 0.0)
    return round(waited_s, 3)


def _steps(events, request_events):
    first, last = request_events[0], request_events[-1]
    subjects = {str(event.get(name)) for event in request_events
                for name in ("engine", "cell")} - {"", "None"}
    selected = [
        event for event in events
        if event.rid == first.rid
        or (_is_context(event, subjects)
            and first.stamp <= event.stamp <= last.stamp)]
    return tuple(_step(event, first) for event in timeline.merge(selected))


def _is_context(event, subjects):
    if event.rid:
        return False
    event_subjects = {event.get(name)
                      for name in ("engine", "backend", "cell")}
    return (not event_subjects.isdisjoint(subjects)
            or event.kind in descriptions.FLEET_KINDS)


def _step(event, first):
    return Step(
        after_s=round((event.stamp.ms - first.stamp.ms) / 1000, 3),
        host=event.host, kind=event.kind,
        text=descriptions.describe_event(event),
        context=event.rid != first.rid)
