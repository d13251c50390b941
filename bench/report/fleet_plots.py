"""Plots of settings, membership, request, relay and claim figures."""

from bench import capacity_rows
from bench.report import canvas

__all__ = ["claims", "membership", "relay", "requests", "settings"]

FLEET_SIZES = (3, 9, 27, 81, 243, 470)
CELL_SIZES = (4, 8, 16, 32, 64)
HOST_COUNTS = (1, 3, 9)
DETECTION_CASES = ((6, 2), (9, 0), (9, 2), (9, 5), (470, 2))
WINDOWS_S = ("0.10", "0.33", "1.00")
LOADS_PER_S = ("0.1", "1", "10", "50")
IN_FORCE_GOAL_S = 4.0
TOKEN_GOAL_US = 45
ADDED_GOAL_MS = 3
NO_PLOT = canvas.Plot(None, "")


def _plot_series(axis, data, index, label):
    color, marker = canvas.PALETTE[index]
    # The last series is dashed to stay visible where it covers another.
    dashes = "--" if index == 3 else "-"
    axis.plot(*data, dashes, color=color, marker=marker, label=label)


def _verdict(value, goal):
    return "met" if value <= goal else "**missed**"


def settings(reader):
    """Plot the time until a change is in force and its bytes."""
    p50 = reader.series("settings_in_force_p50", FLEET_SIZES)
    maximum = reader.series("settings_in_force_max", FLEET_SIZES)
    bytes_per_host = reader.series(
        "settings_bytes_a_change_a_host", FLEET_SIZES)
    if not (maximum[0] and bytes_per_host[0]):
        return NO_PLOT
    fig, axes = canvas.new_figure(1, 2, 3.2)
    time_axis, bytes_axis = axes[0]
    _plot_series(time_axis, p50, 0, "half of the hosts (p50)")
    _plot_series(time_axis, maximum, 2, "all hosts (max)")
    canvas.draw_goal_line(time_axis, IN_FORCE_GOAL_S, "goal: 4 s")
    time_axis.set(yscale="log", title="in force after", ylabel="s",
                  xlabel="hosts", ylim=(0.01, 10))
    canvas.format_log_axis(time_axis.yaxis)
    _plot_series(bytes_axis, bytes_per_host, 1, "bytes a change a host")
    bytes_axis.set(title="bytes a change a host", ylabel="bytes",
                   xlabel="hosts", ylim=(0, None))
    for axis in axes[0]:
        canvas.set_log_x_axis(axis, FLEET_SIZES)
    canvas.add_legend(fig, axes[0], 4)
    hosts, last = maximum[0][-1], maximum[1][-1]
    return canvas.Plot(fig, (
        f"With {hosts} hosts a change is in force everywhere after "
        f"{last:.3f} s (goal {IN_FORCE_GOAL_S:g} s, "
        f"{_verdict(last, IN_FORCE_GOAL_S)}); with {bytes_per_host[0][-1]} it "
        f"costs each of them {bytes_per_host[1][-1]:.0f} bytes."))


def membership(reader):
    """Plot the bytes per host and the time until a death is detected."""
    bytes_sent = reader.series("membership.bytes", FLEET_SIZES)
    cases = _detections(reader)
    if not (bytes_sent[0] and cases):
        return NO_PLOT
    fig, axes = canvas.new_figure(1, 2, 3.2)
    bytes_axis, time_axis = axes[0]
    _plot_series(bytes_axis, bytes_sent, 0, "sent by a host")
    budget = capacity_rows.TARGET.bytes_s
    canvas.draw_goal_line(bytes_axis, budget, "budget of all control: 2 KB/s")
    bytes_axis.set(title="bytes at rest", ylabel="bytes/s a host",
                   xlabel="hosts", ylim=(0, None))
    canvas.set_log_x_axis(bytes_axis, FLEET_SIZES)
    _plot_detections(time_axis, cases)
    canvas.add_legend(fig, axes[0], 4)
    label, _, maximum = cases[-1]
    return canvas.Plot(fig, (
        f"A host of {bytes_sent[0][-1]} sends {bytes_sent[1][-1]:.0f} "
        "bytes/s (2 KB/s for all control, "
        f"{_verdict(bytes_sent[1][-1], budget)}). A death is known to "
        f"the last other host after {maximum:.2f} s ({label})."))


def _detections(reader):
    """Return (label, p50, max) for each measured case."""
    cases = []
    for hosts, loss in DETECTION_CASES:
        name = f"membership.detection.{hosts}hosts.loss{loss}%"
        p50, maximum = reader.get(f"{name}.p50"), reader.get(f"{name}.max")
        if p50 is not None and maximum is not None:
            cases.append((f"{hosts} hosts, {loss} % loss", p50, maximum))
    return cases


def _plot_detections(axis, cases):
    for row, (_, p50, maximum) in enumerate(cases):
        axis.plot([p50, maximum], [row, row], color="#bbbbbb", zorder=1)
        for value, index, alignment in (
                (p50, 0, "right"), (maximum, 2, "left")):
            color, marker = canvas.PALETTE[index]
            axis.plot(value, row, marker, color=color, linestyle="")
            gap = -7 if alignment == "right" else 7
            text = f"p50 {value:.2f}" if index == 0 else f"{value:.2f} max"
            axis.annotate(text, (value, row), (gap, 0), ha=alignment,
                          va="center", textcoords="offset points",
                          color=canvas.TEXT_COLOR, fontsize=8)
    axis.set_yticks(range(len(cases)), [label for label, _, _ in cases])
    longest = max(maximum for _, _, maximum in cases)
    axis.set(title="a death is known to the others", xlabel="s",
             ylim=(len(cases) - 0.4, -0.6), xlim=(0, 1.25 * longest))
    axis.grid(False, axis="y")


def requests(reader):
    """Plot the CPU time per request of entry host and dispatcher."""
    entry_host = reader.series("door_cpu_a_request_queue_0", CELL_SIZES)
    dispatcher = reader.series("dispatcher_cpu_a_request_queue_0", CELL_SIZES)
    if not (entry_host[0] and dispatcher[0]):
        return NO_PLOT
    fig, axes = canvas.new_figure(1, 1, 3.0)
    axis = axes[0][0]
    _plot_series(axis, entry_host, 0, "door")
    _plot_series(axis, dispatcher, 2, "dispatcher")
    canvas.set_log_x_axis(axis, CELL_SIZES)
    axis.set(xlabel="engines in the cell", ylabel="µs of CPU a request",
             ylim=(0, None))
    canvas.add_legend(fig, [axis], 2)
    first, last = dispatcher[1][0], dispatcher[1][-1]
    return canvas.Plot(fig, (
        f"From {dispatcher[0][0]} to {dispatcher[0][-1]} engines a cell "
        f"the dispatcher goes from {first:.0f} to {last:.0f} µs a "
        f"request, the door from {entry_host[1][0]:.0f} to "
        f"{entry_host[1][-1]:.0f} µs."))


def relay(reader):
    """Plot the CPU time per token and the added time to first token."""
    cpu_per_token = reader.by_name("hosts_{}.cpu_per_token", HOST_COUNTS)
    p50 = reader.by_name("hosts_{}.ttft_added_p50", HOST_COUNTS)
    p95 = reader.by_name("hosts_{}.ttft_added_p95", HOST_COUNTS)
    load = reader.by_name("hosts_{}.machine_load", HOST_COUNTS)
    if not (cpu_per_token[0] and p95[0]):
        return NO_PLOT
    fig, axes = canvas.new_figure(1, 2, 3.2)
    cpu_axis, time_axis = axes[0]
    _plot_series(cpu_axis, cpu_per_token, 1, "CPU a token")
    canvas.draw_goal_line(cpu_axis, TOKEN_GOAL_US, "goal")
    cpu_axis.set(title="CPU a token relayed (goal 45 µs)", ylabel="µs")
    _plot_series(time_axis, p50, 0, "added, p50")
    _plot_series(time_axis, p95, 2, "added, p95")
    canvas.draw_goal_line(time_axis, ADDED_GOAL_MS, "goal")
    time_axis.set(title="added time to first token (goal 3 ms at p95)",
                  ylabel="ms")
    for axis in axes[0]:
        canvas.set_log_x_axis(axis, HOST_COUNTS)
        axis.set(xlabel="entry hosts", xlim=(0.8, 11),
                 ylim=(0, 1.1 * axis.get_ylim()[1]))
    canvas.add_legend(fig, axes[0], 4)
    return canvas.Plot(fig, _relay_summary(cpu_per_token, p95, load))


def _host_count(count):
    return "1 host" if count == 1 else f"{count} hosts"


def _relay_summary(cpu_per_token, p95, load):
    cpu = "; ".join(f"{value:.0f} µs with {_host_count(hosts)} "
                    f"({_verdict(value, TOKEN_GOAL_US)})"
                    for hosts, value in zip(*cpu_per_token))
    added = "; ".join(f"{value:.1f} ms with {_host_count(hosts)} "
                      f"({_verdict(value, ADDED_GOAL_MS)})"
                      for hosts, value in zip(*p95))
    loads = "; ".join(f"{value:.1f} with {_host_count(hosts)}"
                      for hosts, value in zip(*load))
    return (f"A token costs {cpu}. Added at p95: {added}. The machine's "
            f"load average when each run began: {loads or 'not kept'}.")


def claims(reader):
    """Plot the writes per claim and the wait for a claim."""
    fig, axes = canvas.new_figure(1, 2, 3.2)
    writes_axis, wait_axis = axes[0]
    writes_by_load, waits_by_load = {}, {}
    for index, load in enumerate(LOADS_PER_S):
        name = "claims.window_{}s.load_" + load
        label = f"{load} claims/s"
        writes_by_load[load] = reader.by_name(
            f"{name}.writes_a_claim", WINDOWS_S)
        waits_by_load[load] = reader.by_name(f"{name}.wait_p95", WINDOWS_S)
        _plot_series(
            writes_axis, _float_points(writes_by_load[load]), index, label)
        _plot_series(
            wait_axis, _float_points(waits_by_load[load]), index, label)
    if not any(data[0] for data in writes_by_load.values()):
        return NO_PLOT
    writes_axis.set(title="platform writes a claim", ylabel="writes",
                    yscale="log")
    canvas.format_log_axis(writes_axis.yaxis)
    wait_axis.set(title="wait for a claim, p95", ylabel="s", ylim=(0, 1.08))
    for axis in axes[0]:
        axis.set(xlabel="window, s", xlim=(0, 1.08))
        axis.set_xticks([float(window) for window in WINDOWS_S], WINDOWS_S)
    canvas.add_legend(fig, axes[0], 4)
    return canvas.Plot(fig, _claims_summary(writes_by_load, waits_by_load))


def _float_points(data):
    return [float(window) for window in data[0]], data[1]


def _claims_summary(writes_by_load, waits_by_load):
    windows, writes = writes_by_load[LOADS_PER_S[-1]]
    parts = [f"a window of {window} s takes {value:.3f} writes a claim"
             for window, value in zip(windows, writes)]
    parts += [f"with {window} s the p95 of the wait is {value:.3f} s"
              for window, value in zip(*waits_by_load[LOADS_PER_S[-1]])]
    return f"At {LOADS_PER_S[-1]} claims/s {'; '.join(parts)}."
