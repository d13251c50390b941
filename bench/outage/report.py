"""The figures of a run, one dict for JSON each."""

import statistics

from bench.outage import callers
from bench.policy import tally as tallies
from crocuskeel.core import follower
from crocuskeel.core import problems

__all__ = ["MUST_BE_0", "breaches", "figures"]

NOT_RUN = problems.Outcome.NOT_RUN
# The calls right after the end, where a stampede would show.
STAMPEDE_S = 30
MUST_BE_0 = ("lost", "duplicated_runs", "false_not_run",
             "generations_back")


def breaches(run):
    """Return the figures that must be 0, by name."""
    calls = run.calls
    return {
        "lost": sum(not callers.is_over(call) for call in calls),
        "duplicated_runs": sum(max(0, call.starts - 1) for call in calls
                               if not call.policy.repeatable),
        "false_not_run": sum(map(_is_false, calls)),
        "generations_back": run.world.backward,
    }


def _is_false(call):
    """Tell whether ``not_run`` was said of a sending that ran.

    Also when an earlier sending of the same non-repeatable key ran: its
    caller would take the key for free and enter the booking by hand.
    """
    ran = callers.ran(call)
    sent = call.extra.sent
    for said in call.extra.said:
        if said.outcome is not NOT_RUN:
            continue
        if call.policy.repeatable:
            told_of = {said.rid}
        else:
            told_of = set(sent[:sent.index(said.rid) + 1])
        if ran & told_of:
            return True
    return False


def false_of_sending(run):
    """Count ``not_run`` said of the very sending that ran."""
    return sum(said.outcome is NOT_RUN and said.rid in callers.ran(call)
               for call in run.calls for said in call.extra.said)


def figures(run):
    """Return all figures of a run as a list of dicts."""
    plan = run.plan
    prefix = f"outage.{plan.deployment}.{plan.variant}"
    n = len(run.calls)
    rows = [("hosts", run.hosts, "hosts", 1), ("requests", n, "", n)]
    for name, value in breaches(run).items():
        rows.append((name, value, "", n))
    rows.append(("false_not_run_of_one_sending", false_of_sending(run),
                 "", n))
    rows += _endings(run) + _phases(run) + _recovery(run)
    rows += _platform(run) + _hosts(run)
    return [{"name": f"{prefix}.{name}", "value": round(value, 4),
             "unit": unit, "n": count} for name, value, unit, count in rows]


def _endings(run):
    rows = []
    for kind in (True, False):
        calls = [call for call in run.calls
                 if call.policy.repeatable is kind]
        word = "repeatable" if kind else "non_repeatable"
        for ended in (callers.SERVED, "not_run", "unknown", "ran"):
            count = sum(call.extra.ended == ended for call in calls)
            rows.append((f"{word}.ended_{ended}", count, "", len(calls)))
        longest = max((call.extra.ended_at - call.at for call in calls
                       if call.extra.ended), default=0.0)
        rows.append((f"{word}.longest_to_the_end", longest, "s",
                     len(calls)))
        sent = sum(len(call.extra.sent) for call in calls)
        rows.append((f"{word}.sendings", sent, "", len(calls)))
    said = [said for call in run.calls for said in call.extra.said]
    for outcome in problems.Outcome:
        count = sum(each.outcome is outcome for each in said)
        rows.append((f"answers_{outcome}", count, "", len(said)))
    return rows


def _phase(run, at):
    if at < run.plan.begins_at:
        return "before"
    return "during" if at < run.plan.ends_at else "after"


def _phases(run):
    groups = {}
    for call in run.calls:
        key = (_phase(run, call.at), call.policy.name,
               call.policy.repeatable)
        groups.setdefault(key, []).append(call)
    rows = []
    for (phase, name, repeatable), calls in sorted(groups.items()):
        if repeatable:
            share = sum(map(tallies.attained, calls)) / len(calls)
            rows.append((f"{phase}.{name}.attainment", share, "share",
                         len(calls)))
        else:
            served = sum(call.extra.ended == callers.SERVED
                         for call in calls) / len(calls)
            rows.append((f"{phase}.{name}.served", served, "share",
                         len(calls)))
    return rows


def _recovery(run):
    end = run.plan.ends_at
    first = [at - end for at in run.world.booked_at.values()]
    last = [said.at - end for call in run.calls
            for said in call.extra.said
            if said.at >= end and said.reason == "claim_unavailable"]
    rows = [("recovery.last_refusal", max(last, default=0.0), "s",
             len(last))]
    if first:
        rows += [("recovery.slot_p50", statistics.median(first), "s",
                  len(first)),
                 ("recovery.slot_max", max(first), "s", len(first))]
    return rows


def _platform(run):
    plan, store = run.plan, run.world.store
    spans = (("before", plan.begins_at - plan.before_s / 2,
              plan.begins_at), ("during", plan.begins_at, plan.ends_at),
             ("after", plan.ends_at, plan.ends_at + plan.after_s))
    rows = []
    for name, begin, end in spans:
        seconds = range(int(begin), int(end))
        counts = [store.calls[at] for at in seconds]
        rows.append((f"platform.{name}", statistics.mean(counts),
                     "calls/s", len(counts)))
        rows.append((f"platform.{name}_peak", max(counts), "calls/s",
                     len(counts)))
    end = int(plan.ends_at)
    counts = [store.calls[at] for at in range(end, end + STAMPEDE_S)]
    rows += [("platform.peak_after_end", max(counts), "calls/s",
              STAMPEDE_S),
             ("platform.lost_writes", store.lost, "writes", 1),
             ("platform.late_writes", store.late, "writes", 1),
             ("platform.conflicts", store.conflicts, "writes", 1)]
    return rows


def _hosts(run):
    rows = [("pauses", run.world.slept, "", 1)]
    for name, node in run.world.fleet.nodes.items():
        number = follower.generation(node.daemon)
        rows.append((f"generation.{name}",
                     number, "", 1))
    for number, span_s in enumerate(run.world.ready_s):
        rows.append((f"restart_{number}.ready_after", span_s, "s", 1))
    return rows
