"""Plots of the policy benchmark: attainment, wasted work, waits."""

from bench.report import canvas
from bench.report import results

__all__ = ["attainment", "waits", "waste"]

DEPLOYMENTS = ("paddlegum", "wellness")
SCENARIOS = (
    "steady", "burst", "bully-class", "bully-workspace", "stragglers",
    "engine-crash", "dispatcher-loss", "host-loss", "silent-connection",
    "poison")
TOP_TIER_GOAL_OF_STEADY = 0.99
WEIGHTED_GOAL_OF_ORACLE = 0.95
WASTE_GOAL_PCT = 1.0
MARKER_SPACING = 0.19
MUST_BE_0 = (("duplicated_runs", "duplicated runs"),
             ("wrong_answers", "wrong answers"),
             ("tier_inversions", "tier inversions"),
             ("unanswered", "unanswered"))
TOP_TIER_LABEL = "top tier together"
WEIGHTED_LABEL = "all, tier-weighted"


def _offset(index):
    return (index - (len(results.POLICIES) - 1) / 2) * MARKER_SPACING


def _label_rows(axis, labels):
    if not labels:
        return
    axis.set_yticks(range(len(labels)), labels)
    axis.set_ylim(len(labels) - 0.5, -0.5)
    for edge in range(1, len(labels)):
        axis.axhline(edge - 0.5, color="#eeeeee", linewidth=0.8)
    axis.grid(False, axis="y")


def _scores(row):
    scores = {f"{name} (tier {each['tier']})": each["attainment"]
              for name, each in row["classes"].items()}
    scores[TOP_TIER_LABEL] = row["top_tier_attainment"]
    scores[WEIGHTED_LABEL] = row["weighted_attainment"]
    return scores


def attainment(reader):
    """Plot the share of requests within their target by class."""
    fig, axes = canvas.new_figure(2, 2, 6.4, sharex=True)
    summaries = []
    for axes_row, deployment in zip(axes, DEPLOYMENTS):
        runs = {(scenario, policy): reader.run(deployment, scenario, policy)
                for scenario in ("steady", "burst")
                for policy in results.POLICIES}
        for axis, scenario in zip(axes_row, ("steady", "burst")):
            _plot_scores(axis, runs, scenario)
            axis.set_title(f"{deployment}, {scenario}")
        axes_row[1].set_yticklabels([])
        goals = _burst_goals(runs)
        _mark_goals(axes_row[1], runs, goals)
        summaries.append(_burst_summary(deployment, runs, goals))
    for axis in axes[1]:
        axis.set_xlabel("attained, share of those sent")
    if not reader.stored.runs:
        return canvas.Plot(None, "")
    canvas.add_legend(fig, axes[0], 5)
    summaries.append(_must_be_0_summary(reader.stored.runs))
    return canvas.Plot(fig, " ".join(summaries))


def _plot_scores(axis, runs, scenario):
    labels = []
    for index, policy in enumerate(results.POLICIES):
        row = runs[scenario, policy]
        if row is None:
            continue
        scores = _scores(row)
        labels = labels or list(scores)
        color, marker = canvas.PALETTE[index]
        positions = [labels.index(name) + _offset(index) for name in scores]
        axis.plot(
            list(scores.values()), positions, linestyle="", marker=marker,
            color=color, label=policy)
    _label_rows(axis, labels)
    axis.set_xlim(-0.03, 1.03)


def _burst_goals(runs):
    """Return (label, score of ``ours``, goal) where measured."""
    steady, burst = runs["steady", "ours"], runs["burst", "ours"]
    oracle = runs["burst", "oracle"]
    goals = []
    if steady and burst:
        goals.append((TOP_TIER_LABEL, burst["top_tier_attainment"],
                      TOP_TIER_GOAL_OF_STEADY * steady["top_tier_attainment"]))
    if oracle and burst:
        goals.append((WEIGHTED_LABEL, burst["weighted_attainment"],
                      WEIGHTED_GOAL_OF_ORACLE * oracle["weighted_attainment"]))
    return goals


def _mark_goals(axis, runs, goals):
    burst = runs["burst", "ours"]
    for label, _, goal in goals:
        position = list(_scores(burst)).index(label)
        axis.vlines(
            goal, position - 0.45, position + 0.45, color=canvas.GOAL_COLOR,
            linewidth=2, label="goal for ours", zorder=1)


def _burst_summary(deployment, runs, goals):
    if not goals:
        return f"{deployment.capitalize()}: burst not measured."
    parts = [f"{label} {score:.3f} (goal {goal:.3f}, "
             f"{'met' if score >= goal else '**missed**'})"
             for label, score, goal in goals]
    return f"{deployment.capitalize()} in burst: {'; '.join(parts)}."


def _must_be_0_summary(runs):
    """Describe the counts that must be 0, summed over runs of ``ours``."""
    ours = [row for (_, _, policy), row in runs.items()
            if policy == "ours"]
    counts = [f"{sum(row[key] for row in ours)} {name}"
              for key, name in MUST_BE_0]
    return f"In {len(ours)} runs of ours: {', '.join(counts)}."


def waste(reader):
    """Plot the share of wasted or repeated work by scenario."""
    fig, axes = canvas.new_figure(1, 2, 5.2, sharex=True)
    summaries = []
    for axis, deployment in zip(axes[0], DEPLOYMENTS):
        ours = _plot_waste(axis, reader, deployment)
        axis.set_title(deployment)
        axis.set_xlabel("wasted work, % of tokens or calls")
        canvas.draw_goal_line(axis, WASTE_GOAL_PCT, "goal for ours in burst",
                              is_vertical=True)
        priority_row = reader.run(deployment, "burst", "priority")
        summaries.append(_waste_summary(deployment, ours, priority_row))
    axes[0][1].set_yticklabels([])
    if not reader.stored.runs:
        return canvas.Plot(None, "")
    canvas.add_legend(fig, axes[0], 5)
    return canvas.Plot(fig, " ".join(summaries))


def _plot_waste(axis, reader, deployment):
    ours = {}
    for index, policy in enumerate(results.POLICIES):
        scores = {}
        for position, scenario in enumerate(SCENARIOS):
            row = reader.run(deployment, scenario, policy)
            if row is not None:
                scores[position + _offset(index)] = 100 * row["wasted_work"]
                if policy == "ours":
                    ours[scenario] = 100 * row["wasted_work"]
        color, marker = canvas.PALETTE[index]
        axis.plot(list(scores.values()), list(scores), linestyle="",
                  marker=marker, color=color, label=policy)
    _label_rows(axis, SCENARIOS)
    return ours


def _waste_summary(deployment, ours, priority_row):
    if "burst" not in ours:
        return f"{deployment.capitalize()}: burst not measured."
    burst = ours["burst"]
    verdict = "met" if burst <= WASTE_GOAL_PCT else "**missed**"
    priority_waste = "not measured" if priority_row is None \
        else f"{100 * priority_row['wasted_work']:.2f} %"
    exceeded = [f"{name} {value:.2f} %" for name, value in ours.items()
                if value > WASTE_GOAL_PCT]
    other_scenarios = f"over 1 % in {', '.join(exceeded)}" if exceeded \
        else "at most 1 % in every scenario"
    return (f"{deployment.capitalize()} wastes {burst:.2f} % in burst "
            f"(goal 1 %, {verdict}; priority: {priority_waste}), "
            f"{other_scenarios}.")


_BOUNDS = (("longest_wait_s", "wait_bound_s", "an attempt's wait"),
           ("longest_gap_s", "gap_bound_s", "a class without a grant"))


def waits(reader):
    """Plot the longest waits of ``ours`` in relation to their bounds."""
    fig, axes = canvas.new_figure(2, 2, 4.6, sharex=True)
    worst = []
    for axes_row, deployment in zip(axes, DEPLOYMENTS):
        rows = [reader.run(deployment, scenario, "ours")
                for scenario in SCENARIOS]
        rows = [row for row in rows if row is not None]
        for axis, (value, bound, title) in zip(axes_row, _BOUNDS):
            axis.set_title(f"{deployment}: {title}")
            worst += _plot_worst_cases(axis, rows, value, bound)
        axes_row[1].set_yticklabels([])
    for axis in axes[1]:
        axis.set_xlabel("s (logarithmic)")
    if not worst:
        return canvas.Plot(None, "")
    canvas.add_legend(fig, axes[0], 2)
    ratio, name, scenario, value, bound = max(worst)
    exceeded = sum(each[0] > 1 for each in worst)
    return canvas.Plot(fig, (
        f"{exceeded} of {len(worst)} longest waits are over their bound; "
        f"the nearest is {name} in {scenario}: {value:.3f} s of "
        f"{bound:.3f} s ({ratio:.0%})."))


def _plot_worst_cases(axis, rows, value, bound):
    """Plot the worst case of each class.

    Returns (share of the bound, class, scenario, value, bound) of each.
    """
    worst = {}
    for row in rows:
        for name, each in row["classes"].items():
            if not each.get(bound):
                continue
            label = f"{name} (tier {each['tier']})"
            case = (each[value] / each[bound], label, row["scenario"],
                    each[value], each[bound])
            worst[label] = max(worst.get(label, case), case)
    for position, (_, _, _, observed, limit) in enumerate(worst.values()):
        axis.plot([observed, limit], [position, position], color="#bbbbbb")
        axis.plot(observed, position, "o", color=canvas.PALETTE[0][0],
                  label="longest seen", linestyle="")
        axis.plot(limit, position, "|", color=canvas.GOAL_COLOR, markersize=12,
                  markeredgewidth=2, label="its bound", linestyle="")
    _label_rows(axis, list(worst))
    axis.set_xscale("log")
    canvas.format_log_axis(axis.xaxis)
    return list(worst.values())
