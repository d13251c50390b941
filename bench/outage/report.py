"""Computes the figures of a run, each a dict for JSON."""

import statistics

from bench.outage import callers
from bench.policy import tally as tallies
from crocuskeel.core import follower
from crocuskeel.core import problems

__all__ = ["MUST_BE_0", "figures", "violations"]

NOT_RUN = problems.Outcome.NOT_RUN
# The span after the end of the outage in which a stampede would show.
STAMPEDE_S = 30
MUST_BE_0 = ("lost", "duplicated_runs", "false_not_run",
             "generations_back")


def violations(run):
    """Return by name the figures that must be 0."""
    calls = run.calls
    return {
        "lost": sum(not callers.is_finished(call) for call in calls),
        "duplicated_runs": sum(max(0, call.starts - 1) for call in calls
                               if not call.policy.repeatable),
        "false_not_run": sum(map(_has_false_not_run, calls)),
        "generations_back": run.world.generation_regressions,
    }


def _has_false_not_run(call):
    """Tell whether ``not_run`` was reported for a sending that ran.

    For a non-repeatable key, earlier sendings count too: the caller would
    consider the key unused and enter the booking by hand.
    """
    started = callers.started_rids(call)
    rids = call.driver_data.rids
    for error in call.driver_data.errors:
        if error.outcome is not NOT_RUN:
            continue
        if call.policy.repeatable:
            covered = {error.rid}
        else:
            covered = set(rids[:rids.index(error.rid) + 1])
        if started & covered:
            return True
    return False


def false_not_run_of_sending(run):
    """Count ``not_run`` reports for a sending that itself ran."""
    return sum(error.outcome is NOT_RUN
               and error.rid in callers.started_rids(call)
               for call in run.calls for error in call.driver_data.errors)


def figures(run):
    """Return all figures of a run as a list of dicts."""
    plan = run.plan
    prefix = f"outage.{plan.deployment}.{plan.variant}"
    n = len(run.calls)
    rows = [("hosts", run.hosts, "hosts", 1), ("requests", n, "", n)]
    for name, value in violations(run).items():
        rows.append((name, value, "", n))
    rows.append(("false_not_run_of_one_sending", false_not_run_of_sending(run),
                 "", n))
    rows += _final_statuses(run) + _phase_figures(run) + _recovery_figures(run)
    rows += _platform_figures(run) + _host_figures(run)
    return [{"name": f"{prefix}.{name}", "value": round(value, 4),
             "unit": unit, "n": count} for name, value, unit, count in rows]


def _final_statuses(run):
    rows = []
    for kind in (True, False):
        calls = [call for call in run.calls
                 if call.policy.repeatable is kind]
        label = "repeatable" if kind else "non_repeatable"
        for status in (callers.SERVED, "not_run", "unknown", "ran"):
            count = sum(
                call.driver_data.final_status == status for call in calls)
            rows.append((f"{label}.ended_{status}", count, "", len(calls)))
        longest = max((call.driver_data.final_at - call.arrived_at
                       for call in calls
                       if call.driver_data.final_status), default=0.0)
        rows.append((f"{label}.longest_to_the_end", longest, "s",
                     len(calls)))
        sendings = sum(len(call.driver_data.rids) for call in calls)
        rows.append((f"{label}.sendings", sendings, "", len(calls)))
    errors = [error for call in run.calls
              for error in call.driver_data.errors]
    for outcome in problems.Outcome:
        count = sum(error.outcome is outcome for error in errors)
        rows.append((f"answers_{outcome}", count, "", len(errors)))
    return rows


def _phase(run, at):
    if at < run.plan.begins_at:
        return "before"
    return "during" if at < run.plan.ends_at else "after"


def _phase_figures(run):
    groups = {}
    for call in run.calls:
        key = (_phase(run, call.arrived_at), call.policy.name,
               call.policy.repeatable)
        groups.setdefault(key, []).append(call)
    rows = []
    for (phase, name, repeatable), calls in sorted(groups.items()):
        if repeatable:
            share = sum(map(tallies.attained, calls)) / len(calls)
            rows.append((f"{phase}.{name}.attainment", share, "share",
                         len(calls)))
        else:
            served = sum(call.driver_data.final_status == callers.SERVED
                         for call in calls) / len(calls)
            rows.append((f"{phase}.{name}.served", served, "share",
                         len(calls)))
    return rows


def _recovery_figures(run):
    end = run.plan.ends_at
    recovered = [at - end for at in run.world.first_run_at.values()]
    refused = [error.answered_at - end for call in run.calls
               for error in call.driver_data.errors
               if error.answered_at >= end
               and error.reason == "claim_unavailable"]
    rows = [("recovery.last_refusal", max(refused, default=0.0), "s",
             len(refused))]
    if recovered:
        rows += [("recovery.slot_p50", statistics.median(recovered), "s",
                  len(recovered)),
                 ("recovery.slot_max", max(recovered), "s", len(recovered))]
    return rows


def _platform_figures(run):
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
             ("platform.lost_writes", store.lost_writes, "writes", 1),
             ("platform.late_writes", store.late_writes, "writes", 1),
             ("platform.conflicts", store.conflicts, "writes", 1)]
    return rows


def _host_figures(run):
    rows = [("pauses", run.world.pause_count, "", 1)]
    for name, node in run.world.fleet.nodes.items():
        number = follower.generation(node.daemon)
        rows.append((f"generation.{name}",
                     number, "", 1))
    for number, ready_after_s in enumerate(run.world.restart_ready_s):
        rows.append((f"restart_{number}.ready_after", ready_after_s, "s", 1))
    return rows
