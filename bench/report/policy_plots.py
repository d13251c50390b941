"""Plots of the policy benchmark: attainment, wasted work, waits."""

from bench.report import canvas
from bench.report import kept

__all__ = ["attainment", "waits", "waste"]

DEPLOYMENTS = ("paddlegum", "wellness")
SCENARIOS = (
    "steady", "burst", "bully-class", "bully-workspace", "stragglers",
    "engine-crash", "dispatcher-loss", "host-loss", "silent-connection",
    "poison")
TOP_OF_STEADY = 0.99
WEIGHTED_OF_ORACLE = 0.95
WASTE_GOAL_PCT = 1.0
SPREAD = 0.19
NEVER = (("duplicated_runs", "duplicated runs"),
         ("wrong_answers", "wrong answers"),
         ("tier_inversions", "tier inversions"),
         ("unanswered", "unanswered"))
TOP = "top tier together"
WEIGHTED = "all, tier-weighted"


def _offset(index):
    return (index - (len(kept.POLICIES) - 1) / 2) * SPREAD


def _named(axis, labels):
    if not labels:
        return
    axis.set_yticks(range(len(labels)), labels)
    axis.set_ylim(len(labels) - 0.5, -0.5)
    for edge in range(1, len(labels)):
        axis.axhline(edge - 0.5, color="#eeeeee", linewidth=0.8)
    axis.grid(False, axis="y")


def _scores(row):
    found = {f"{name} (tier {each['tier']})": each["attainment"]
             for name, each in row["classes"].items()}
    found[TOP] = row["top_tier_attainment"]
    found[WEIGHTED] = row["weighted_attainment"]
    return found


def attainment(asked):
    """Share of requests within their target, by class and policy."""
    fig, axes = canvas.grid(2, 2, 6.4, sharex=True)
    readings = []
    for line, deployment in zip(axes, DEPLOYMENTS):
        runs = {(scenario, policy): asked.run(deployment, scenario, policy)
                for scenario in ("steady", "burst")
                for policy in kept.POLICIES}
        for axis, scenario in zip(line, ("steady", "burst")):
            _scores_of(axis, runs, scenario)
            axis.set_title(f"{deployment}, {scenario}")
        line[1].set_yticklabels([])
        goals = _burst_goals(runs)
        _mark_goals(line[1], runs, goals)
        readings.append(_burst_reading(deployment, runs, goals))
    for axis in axes[1]:
        axis.set_xlabel("attained, share of those sent")
    if not asked.kept.runs:
        return canvas.Plot(None, "")
    canvas.legend(fig, axes[0], 5)
    readings.append(_never(asked.kept.runs))
    return canvas.Plot(fig, " ".join(readings))


def _scores_of(axis, runs, scenario):
    labels = []
    for index, policy in enumerate(kept.POLICIES):
        row = runs[scenario, policy]
        if row is None:
            continue
        scores = _scores(row)
        labels = labels or list(scores)
        color, marker = canvas.PALETTE[index]
        places = [labels.index(name) + _offset(index) for name in scores]
        axis.plot(list(scores.values()), places, linestyle="", marker=marker,
                  color=color, label=policy)
    _named(axis, labels)
    axis.set_xlim(-0.03, 1.03)


def _burst_goals(runs):
    """Return (label, score of ours, goal) as far as measured."""
    steady, burst = runs["steady", "ours"], runs["burst", "ours"]
    oracle = runs["burst", "oracle"]
    goals = []
    if steady and burst:
        goals.append((TOP, burst["top_tier_attainment"],
                      TOP_OF_STEADY * steady["top_tier_attainment"]))
    if oracle and burst:
        goals.append((WEIGHTED, burst["weighted_attainment"],
                      WEIGHTED_OF_ORACLE * oracle["weighted_attainment"]))
    return goals


def _mark_goals(axis, runs, goals):
    burst = runs["burst", "ours"]
    for label, _, goal in goals:
        place = list(_scores(burst)).index(label)
        axis.vlines(goal, place - 0.45, place + 0.45, color=canvas.GOAL,
                    linewidth=2, label="goal for ours", zorder=1)


def _burst_reading(deployment, runs, goals):
    if not goals:
        return f"{deployment.capitalize()}: burst not measured."
    parts = [f"{label} {score:.3f} (goal {goal:.3f}, "
             f"{'met' if score >= goal else '**missed**'})"
             for label, score, goal in goals]
    return f"{deployment.capitalize()} in burst: {'; '.join(parts)}."


def _never(runs):
    """Say what must never happen, summed over the runs of ours."""
    ours = [row for (_, _, policy), row in runs.items()
            if policy == "ours"]
    counts = [f"{sum(row[key] for row in ours)} {name}"
              for key, name in NEVER]
    return f"In {len(ours)} runs of ours: {', '.join(counts)}."


def waste(asked):
    """Share of work thrown away or done twice, by scenario."""
    fig, axes = canvas.grid(1, 2, 5.2, sharex=True)
    readings = []
    for axis, deployment in zip(axes[0], DEPLOYMENTS):
        ours = _waste_of(axis, asked, deployment)
        axis.set_title(deployment)
        axis.set_xlabel("wasted work, % of tokens or calls")
        canvas.goal_line(axis, WASTE_GOAL_PCT, "goal for ours in burst",
                         upright=True)
        other = asked.run(deployment, "burst", "priority")
        readings.append(_waste_reading(deployment, ours, other))
    axes[0][1].set_yticklabels([])
    if not asked.kept.runs:
        return canvas.Plot(None, "")
    canvas.legend(fig, axes[0], 5)
    return canvas.Plot(fig, " ".join(readings))


def _waste_of(axis, asked, deployment):
    ours = {}
    for index, policy in enumerate(kept.POLICIES):
        found = {}
        for place, scenario in enumerate(SCENARIOS):
            row = asked.run(deployment, scenario, policy)
            if row is not None:
                found[place + _offset(index)] = 100 * row["wasted_work"]
                if policy == "ours":
                    ours[scenario] = 100 * row["wasted_work"]
        color, marker = canvas.PALETTE[index]
        axis.plot(list(found.values()), list(found), linestyle="",
                  marker=marker, color=color, label=policy)
    _named(axis, SCENARIOS)
    return ours


def _waste_reading(deployment, ours, other):
    if "burst" not in ours:
        return f"{deployment.capitalize()}: burst not measured."
    burst = ours["burst"]
    verdict = "met" if burst <= WASTE_GOAL_PCT else "**missed**"
    than = "not measured" if other is None \
        else f"{100 * other['wasted_work']:.2f} %"
    over = [f"{name} {value:.2f} %" for name, value in ours.items()
            if value > WASTE_GOAL_PCT]
    rest = f"over 1 % in {', '.join(over)}" if over \
        else "at most 1 % in every scenario"
    return (f"{deployment.capitalize()} wastes {burst:.2f} % in burst "
            f"(goal 1 %, {verdict}; priority: {than}), {rest}.")


_BOUNDS = (("longest_wait_s", "wait_bound_s", "an attempt's wait"),
           ("longest_gap_s", "gap_bound_s", "a class without a grant"))


def waits(asked):
    """Longest waits of ours against their bounds, worst scenario."""
    fig, axes = canvas.grid(2, 2, 4.6, sharex=True)
    worst = []
    for line, deployment in zip(axes, DEPLOYMENTS):
        rows = [asked.run(deployment, scenario, "ours")
                for scenario in SCENARIOS]
        rows = [row for row in rows if row is not None]
        for axis, (value, bound, what) in zip(line, _BOUNDS):
            axis.set_title(f"{deployment}: {what}")
            worst += _against(axis, rows, value, bound)
        line[1].set_yticklabels([])
    for axis in axes[1]:
        axis.set_xlabel("s (logarithmic)")
    if not worst:
        return canvas.Plot(None, "")
    canvas.legend(fig, axes[0], 2)
    ratio, name, scenario, value, bound = max(worst)
    over = sum(each[0] > 1 for each in worst)
    return canvas.Plot(fig, (
        f"{over} of {len(worst)} longest waits are over their bound; "
        f"the nearest is {name} in {scenario}: {value:.3f} s of "
        f"{bound:.3f} s ({ratio:.0%})."))


def _against(axis, rows, value, bound):
    """Draw each class's worst; return (share, class, ...) of each."""
    worst = {}
    for row in rows:
        for name, each in row["classes"].items():
            if not each.get(bound):
                continue
            label = f"{name} (tier {each['tier']})"
            case = (each[value] / each[bound], label, row["scenario"],
                    each[value], each[bound])
            worst[label] = max(worst.get(label, case), case)
    for place, (_, _, _, seen, limit) in enumerate(worst.values()):
        axis.plot([seen, limit], [place, place], color="#bbbbbb")
        axis.plot(seen, place, "o", color=canvas.PALETTE[0][0],
                  label="longest seen", linestyle="")
        axis.plot(limit, place, "|", color=canvas.GOAL, markersize=12,
                  markeredgewidth=2, label="its bound", linestyle="")
    _named(axis, list(worst))
    axis.set_xscale("log")
    canvas.plain_log(axis.xaxis)
    return list(worst.values())
