"""The demo's table and verdict."""

import collections

from crocuskeel import conf
from tools import demo_load

__all__ = ["MIXES", "show", "weights"]

MIXES = (
    demo_load.Mix("ramp-briefing", 0.25),
    demo_load.Mix("safety-question", 0.2),
    demo_load.Mix("launch-confirmation", 0.2, "hire-desk"),
    demo_load.Mix("boat-return", 0.1, "hire-desk"),
    demo_load.Mix("trip-planning", 0.15),
    demo_load.Mix("waiver-summary", 0.1),
)
_HEAD = ("class", "tier", "sent", "answered", "attained", "goodput/s",
         "wasted", "refused", "wrong", "lost")


def weights(tree):
    """Return the workspaces' weights, which shape the load too."""
    return {name: float(body.get("weight", 1.0))
            for name, body in conf.workspaces(tree)}


def show(tree, answers, runs, span_s):
    """Print a table a class; return the exit code."""
    by_class = collections.defaultdict(list)
    for answer in answers:
        by_class[answer.class_name].append(answer)
    wasted = _wasted_shares(answers, runs)
    rows = [_row(tree, mix, by_class[mix.class_name], wasted, span_s)
            for mix in MIXES]
    _print_table(rows)
    return _verdict(answers, runs)


def _row(tree, mix, answers, wasted, span_s):
    count = collections.Counter(a.verdict for a in answers)
    good = [a for a in answers if _attained(tree, a)]
    policy = conf.resolve(tree, next(iter(weights(tree))), mix.class_name)
    return (mix.class_name, policy.tier, len(answers), count["right"],
            f"{len(good) / max(1, len(answers)):.3f}",
            f"{sum(a.tokens for a in good) / span_s:.1f}",
            f"{wasted['service' if mix.service else 'engine']:.4f}",
            count["refused"], count["wrong"], count["lost"])


def _attained(tree, answer):
    policy = conf.resolve(tree, answer.workspace, answer.class_name)
    return (answer.verdict == "right"
            and answer.ttft_s <= policy.target_ttft_s
            and answer.itl_s <= policy.target_itl_s)


def _wasted_shares(answers, runs):
    """Return the share of each role's work that reached no caller."""
    plain = {mix.class_name for mix in MIXES if mix.service}
    useful = collections.Counter()
    for answer in answers:
        if answer.verdict == "right":
            role = "service" if answer.class_name in plain else "engine"
            useful[role] += answer.tokens
    done = collections.Counter()
    for role, _name, counts in runs:
        done[role] += (counts["tokens_generated"] if role == "engine"
                       else sum(counts.values()))
    return {role: max(0.0, 1.0 - useful[role] / done[role])
            if done[role] else 0.0 for role in ("engine", "service")}


def _print_table(rows):
    table = [_HEAD, *[tuple(map(str, row)) for row in rows]]
    widths = [max(map(len, column)) for column in zip(*table)]
    for row in table:
        cells = [text.ljust(width) if i == 0 else text.rjust(width)
                 for i, (text, width) in enumerate(zip(row, widths))]
        print("  ".join(cells))


def _verdict(answers, runs):
    twice = _run_twice(runs)
    bad = [a for a in answers if a.verdict in ("wrong", "lost")]
    for answer in bad[:10]:
        print(answer)
    refused = collections.Counter(
        a.code for a in answers if a.verdict == "refused")
    ran = sum(a.verdict == "refused" and a.outcome == "not_run"
              and a.key in _keys_run(runs) for a in answers)
    print(f"wrong or lost: {len(bad)}; bookings run twice: {twice}; "
          f"refused as not run but run: {ran}; "
          f"refusals: {dict(refused)}")
    return 1 if bad or twice or ran else 0


def _keys_run(runs):
    return {key for role, _name, counts in runs if role == "service"
            for key in counts}


def _run_twice(runs):
    total = collections.Counter()
    for role, _name, counts in runs:
        if role == "service":
            total.update(counts)
    return sum(count > 1 for count in total.values())
