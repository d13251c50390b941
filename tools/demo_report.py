"""The demo's result table and verdict."""

import collections

from crocuskeel import conf
from tools import demo_load

__all__ = ["TRAFFIC_CLASSES", "print_report", "workspace_weights"]

TRAFFIC_CLASSES = (
    demo_load.TrafficClass("ramp-briefing", 0.25),
    demo_load.TrafficClass("safety-question", 0.2),
    demo_load.TrafficClass("launch-confirmation", 0.2, "hire-desk"),
    demo_load.TrafficClass("boat-return", 0.1, "hire-desk"),
    demo_load.TrafficClass("trip-planning", 0.15),
    demo_load.TrafficClass("waiver-summary", 0.1),
)
_HEADER = ("class", "tier", "sent", "answered", "attained", "goodput/s",
           "wasted", "refused", "wrong", "lost")


def workspace_weights(tree):
    """Return the weights of the workspaces, also used for the load."""
    return {name: float(body.get("weight", 1.0))
            for name, body in conf.workspaces(tree)}


def print_report(tree, answers, runs, duration_s):
    """Print a table with a row per class; return the exit code."""
    by_class = collections.defaultdict(list)
    for answer in answers:
        by_class[answer.class_name].append(answer)
    wasted = _wasted_work_shares(answers, runs)
    rows = [_row(tree, traffic, by_class[traffic.class_name], wasted,
                 duration_s) for traffic in TRAFFIC_CLASSES]
    _print_table(rows)
    return _print_verdict(answers, runs)


def _row(tree, traffic, answers, wasted, duration_s):
    count = collections.Counter(answer.verdict for answer in answers)
    attained = [answer for answer in answers if _attained(tree, answer)]
    policy = conf.resolve(tree, next(iter(workspace_weights(tree))),
                          traffic.class_name)
    return (traffic.class_name, policy.tier, len(answers), count["right"],
            f"{len(attained) / max(1, len(answers)):.3f}",
            f"{sum(answer.tokens for answer in attained) / duration_s:.1f}",
            f"{wasted['service' if traffic.service else 'engine']:.4f}",
            count["refused"], count["wrong"], count["lost"])


def _attained(tree, answer):
    policy = conf.resolve(tree, answer.workspace, answer.class_name)
    return (answer.verdict == "right"
            and answer.ttft_s <= policy.target_ttft_s
            and answer.itl_s <= policy.target_itl_s)


def _wasted_work_shares(answers, runs):
    """Return the share of each role's work that was not delivered."""
    plain_classes = {traffic.class_name for traffic in TRAFFIC_CLASSES
                     if traffic.service}
    useful_work = collections.Counter()
    for answer in answers:
        if answer.verdict == "right":
            role = ("service" if answer.class_name in plain_classes
                    else "engine")
            useful_work[role] += answer.tokens
    total_work = collections.Counter()
    for role, _name, counts in runs:
        total_work[role] += (counts["tokens_generated"] if role == "engine"
                             else sum(counts.values()))
    return {role: max(0.0, 1.0 - useful_work[role] / total_work[role])
            if total_work[role] else 0.0 for role in ("engine", "service")}


def _print_table(rows):
    table = [_HEADER, *[tuple(map(str, row)) for row in rows]]
    widths = [max(map(len, column)) for column in zip(*table)]
    for row in table:
        cells = [text.ljust(width) if i == 0 else text.rjust(width)
                 for i, (text, width) in enumerate(zip(row, widths))]
        print("  ".join(cells))


def _print_verdict(answers, runs):
    run_twice = _run_twice(runs)
    wrong_or_lost = [answer for answer in answers
                     if answer.verdict in ("wrong", "lost")]
    for answer in wrong_or_lost[:10]:
        print(answer)
    refused = collections.Counter(
        answer.code for answer in answers if answer.verdict == "refused")
    refused_but_run = sum(
        answer.verdict == "refused" and answer.outcome == "not_run"
        and answer.key in _keys_that_ran(runs) for answer in answers)
    print(f"wrong or lost: {len(wrong_or_lost)}; "
          f"bookings run twice: {run_twice}; "
          f"refused as not run but run: {refused_but_run}; "
          f"refusals: {dict(refused)}")
    return 1 if wrong_or_lost or run_twice or refused_but_run else 0


def _keys_that_ran(runs):
    return {key for role, _name, counts in runs if role == "service"
            for key in counts}


def _run_twice(runs):
    run_counts = collections.Counter()
    for role, _name, counts in runs:
        if role == "service":
            run_counts.update(counts)
    return sum(count > 1 for count in run_counts.values())
