"""The story of one request, told from the time line.

The host that took a request records each decision about it: where it
waited, what it was granted, how each attempt ended and why the answer
was what it was; the dispatcher records by which rule it granted or
shed. Events about its engines, its cell and the settings in the same
span are told beside it, as they are often the cause.
"""

import dataclasses

from crocuskeel.core import problems
from crocuskeel.ops import sentences
from crocuskeel import timeline

__all__ = ["Attempt", "Step", "Story", "context_kinds", "explain",
           "host_of"]

_RID_PARTS = 3
_ENDS = frozenset({"answered", "refused"})


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt; ``engine`` is empty if it got no slot.

    ``rule`` is why the dispatcher granted (``tier``, ``floor``) or shed
    it, empty if its events are not at hand. ``waited_s`` is the time in
    the queue; ``end`` is an ``AttemptEnd``, empty if it was not opened
    or is still open.
    """

    number: int
    engine: str = ""
    rule: str = ""
    waited_s: float = 0.0
    opened: bool = False
    end: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """One event in words; ``after_s`` counts from the first one."""

    after_s: float
    host: str
    kind: str
    text: str
    context: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Story:
    """What happened to a request.

    ``outcome`` is what the caller was told: ``ran``, ``not_run``,
    ``unknown``, or ``open`` while there is no answer. ``reason`` is the
    refusal's code, empty for a whole answer; ``hint`` says what an
    operator can do about it.
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
    """Return the kinds of events that may be told beside a request."""
    return sentences.CONTEXT_KINDS


def host_of(rid):
    """Return the host that took a request, "" for a malformed rid."""
    parts = rid.split(".")
    return parts[0] if len(parts) == _RID_PARTS else ""


def explain(events, rid):
    """Return the :class:`Story` of a request, None if none is known.

    ``events`` are :class:`crocuskeel.timeline.Event` in their order.
    """
    own = [event for event in events if event.rid == rid]
    if not own:
        return None
    attempts = _attempts(own)
    fields = _last_fields(own)
    outcome, reason = _end(own)
    return Story(
        rid=rid,
        class_name=str(fields.get("class", "")),
        workspace=str(fields.get("workspace", "")),
        tier=int(fields.get("tier", 0)),
        generation=int(fields.get("generation", own[0].generation)),
        cell=str(fields.get("cell", "")),
        outcome=outcome,
        reason=reason,
        hint=sentences.hint(reason),
        waited_s=round(sum(each.waited_s for each in attempts), 3),
        attempts=attempts,
        steps=_steps(events, own))


def _last_fields(own):
    found = {}
    for event in own:
        found.update(event.fields)
    return found


def _end(own):
    """Return the outcome and the reason that the caller was told."""
    ends = [event for event in own if event.kind in _ENDS]
    if not ends:
        return "open", ""
    # A dispatcher's refusal is recorded before the answer made of it.
    last = ends[-1]
    reason = str(last.get("reason", ""))
    usual = problems.Outcome.NOT_RUN if reason else problems.Outcome.RAN
    return str(last.get("outcome", usual)), reason


def _attempts(own):
    found = {}
    queued = {}
    for event in own:
        number = int(event.get("attempt", 0))
        if event.kind == "enqueued":
            queued[number] = event
            found[number] = Attempt(number)
        elif number in found:
            found[number] = _after(found[number], event, queued[number])
    return tuple(found[number] for number in sorted(found))


def _after(attempt, event, queued):
    match event.kind:
        case "granted" | "shed" if event.get("reason"):
            return dataclasses.replace(
                attempt, rule=str(event.get("reason")))
        case "granted":
            return dataclasses.replace(
                attempt, engine=str(event.get("engine", "")),
                waited_s=_span(queued, event))
        case "refused" | "answered" if not attempt.engine:
            return dataclasses.replace(
                attempt, waited_s=_span(queued, event))
        case "opened":
            return dataclasses.replace(attempt, opened=True)
        case "closed":
            return dataclasses.replace(
                attempt, end=str(event.get("end", "")))
    return attempt


def _span(queued, event):
    # Both count from the request's arrival.
    span = event.get("waited_s", 0.0) - queued.get("waited_s", 0.0)
    return round(span, 3)


def _steps(events, own):
    first, last = own[0], own[-1]
    subjects = {str(event.get(name)) for event in own
                for name in ("engine", "cell")} - {"", "None"}
    told = [
        event for event in events
        if event.rid == first.rid
        or (_is_cause(event, subjects)
            and first.stamp <= event.stamp <= last.stamp)]
    return tuple(_step(event, first) for event in timeline.merge(told))


def _is_cause(event, subjects):
    if event.rid:
        return False
    named = {event.get(name) for name in ("engine", "backend", "cell")}
    return (not named.isdisjoint(subjects)
            or event.kind in sentences.FLEET_KINDS)


def _step(event, first):
    return Step(
        after_s=round((event.stamp.ms - first.stamp.ms) / 1000, 3),
        host=event.host, kind=event.kind,
        text=sentences.sentence(event), context=event.rid != first.rid)
