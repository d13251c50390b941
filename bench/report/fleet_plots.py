"""Plots of state and cost: settings, membership, requests, claims."""

from bench import capacity_rows
from bench.report import canvas

__all__ = ["claims", "membership", "relay", "requests", "settings"]

FLEET = (3, 9, 27, 81, 243, 470)
CELLS = (4, 8, 16, 32, 64)
HOSTS = (1, 3, 9)
DETECTIONS = ((6, 2), (9, 0), (9, 2), (9, 5), (470, 2))
WINDOWS = ("0.10", "0.33", "1.00")
LOADS = ("0.1", "1", "10", "50")
IN_FORCE_GOAL_S = 4.0
TOKEN_GOAL_US = 45
ADDED_GOAL_MS = 3
NONE = canvas.Plot(None, "")


def _line(axis, data, index, label):
    color, marker = canvas.PALETTE[index]
    # Dashes keep the last series visible where it lies on another.
    dashes = "--" if index == 3 else "-"
    axis.plot(*data, dashes, color=color, marker=marker, label=label)


def _verdict(value, goal):
    return "met" if value <= goal else "**missed**"


def settings(asked):
    """Time for a change to be in force and its bytes, by fleet size."""
    half = asked.series("settings_in_force_p50", FLEET)
    most = asked.series("settings_in_force_max", FLEET)
    size = asked.series("settings_bytes_a_change_a_host", FLEET)
    if not (most[0] and size[0]):
        return NONE
    fig, axes = canvas.grid(1, 2, 3.2)
    time, volume = axes[0]
    _line(time, half, 0, "half of the hosts (p50)")
    _line(time, most, 2, "all hosts (max)")
    canvas.goal_line(time, IN_FORCE_GOAL_S, "goal: 4 s")
    time.set(yscale="log", title="in force after", ylabel="s",
             xlabel="hosts", ylim=(0.01, 10))
    canvas.plain_log(time.yaxis)
    _line(volume, size, 1, "bytes a change a host")
    volume.set(title="bytes a change a host", ylabel="bytes",
               xlabel="hosts", ylim=(0, None))
    for axis in axes[0]:
        canvas.decades(axis, FLEET)
    canvas.legend(fig, axes[0], 4)
    hosts, last = most[0][-1], most[1][-1]
    return canvas.Plot(fig, (
        f"With {hosts} hosts a change is in force everywhere after "
        f"{last:.3f} s (goal {IN_FORCE_GOAL_S:g} s, "
        f"{_verdict(last, IN_FORCE_GOAL_S)}); with {size[0][-1]} it "
        f"costs each of them {size[1][-1]:.0f} bytes."))


def membership(asked):
    """Bytes a host by fleet size; time until a death is known."""
    sent = asked.series("membership.bytes", FLEET)
    seen = _detections(asked)
    if not (sent[0] and seen):
        return NONE
    fig, axes = canvas.grid(1, 2, 3.2)
    volume, time = axes[0]
    _line(volume, sent, 0, "sent by a host")
    budget = capacity_rows.TARGET.bytes_s
    canvas.goal_line(volume, budget, "budget of all control: 2 KB/s")
    volume.set(title="bytes at rest", ylabel="bytes/s a host",
               xlabel="hosts", ylim=(0, None))
    canvas.decades(volume, FLEET)
    _draw_detections(time, seen)
    canvas.legend(fig, axes[0], 4)
    label, _, most = seen[-1]
    return canvas.Plot(fig, (
        f"A host of {sent[0][-1]} sends {sent[1][-1]:.0f} bytes/s (2 KB/s "
        f"for all control, {_verdict(sent[1][-1], budget)}). A death is "
        f"known to the last other host after {most:.2f} s ({label})."))


def _detections(asked):
    """Return (label, p50, max) of each case measured."""
    seen = []
    for hosts, loss in DETECTIONS:
        name = f"membership.detection.{hosts}hosts.loss{loss}%"
        half, most = asked.get(f"{name}.p50"), asked.get(f"{name}.max")
        if half is not None and most is not None:
            seen.append((f"{hosts} hosts, {loss} % loss", half, most))
    return seen


def _draw_detections(axis, seen):
    for place, (_, half, most) in enumerate(seen):
        axis.plot([half, most], [place, place], color="#bbbbbb", zorder=1)
        for value, index, side in ((half, 0, "right"), (most, 2, "left")):
            color, marker = canvas.PALETTE[index]
            axis.plot(value, place, marker, color=color, linestyle="")
            gap = -7 if side == "right" else 7
            text = f"p50 {value:.2f}" if index == 0 else f"{value:.2f} max"
            axis.annotate(text, (value, place), (gap, 0), ha=side,
                          va="center", textcoords="offset points",
                          color=canvas.INK, fontsize=8)
    axis.set_yticks(range(len(seen)), [label for label, _, _ in seen])
    longest = max(most for _, _, most in seen)
    axis.set(title="a death is known to the others", xlabel="s",
             ylim=(len(seen) - 0.4, -0.6), xlim=(0, 1.25 * longest))
    axis.grid(False, axis="y")


def requests(asked):
    """CPU a request of the door and the dispatcher, by cell size."""
    door = asked.series("door_cpu_a_request_queue_0", CELLS)
    dispatcher = asked.series("dispatcher_cpu_a_request_queue_0", CELLS)
    if not (door[0] and dispatcher[0]):
        return NONE
    fig, axes = canvas.grid(1, 1, 3.0)
    axis = axes[0][0]
    _line(axis, door, 0, "door")
    _line(axis, dispatcher, 2, "dispatcher")
    canvas.decades(axis, CELLS)
    axis.set(xlabel="engines in the cell", ylabel="µs of CPU a request",
             ylim=(0, None))
    canvas.legend(fig, [axis], 2)
    first, last = dispatcher[1][0], dispatcher[1][-1]
    return canvas.Plot(fig, (
        f"From {dispatcher[0][0]} to {dispatcher[0][-1]} engines a cell "
        f"the dispatcher goes from {first:.0f} to {last:.0f} µs a "
        f"request, the door from {door[1][0]:.0f} to {door[1][-1]:.0f} "
        "µs."))


def relay(asked):
    """CPU a token, added time to first token, by number of hosts."""
    token = asked.by_name("hosts_{}.cpu_per_token", HOSTS)
    half = asked.by_name("hosts_{}.ttft_added_p50", HOSTS)
    most = asked.by_name("hosts_{}.ttft_added_p95", HOSTS)
    load = asked.by_name("hosts_{}.machine_load", HOSTS)
    if not (token[0] and most[0]):
        return NONE
    fig, axes = canvas.grid(1, 2, 3.2)
    cpu, time = axes[0]
    _line(cpu, token, 1, "CPU a token")
    canvas.goal_line(cpu, TOKEN_GOAL_US, "goal")
    cpu.set(title="CPU a token relayed (goal 45 µs)", ylabel="µs")
    _line(time, half, 0, "added, p50")
    _line(time, most, 2, "added, p95")
    canvas.goal_line(time, ADDED_GOAL_MS, "goal")
    time.set(title="added time to first token (goal 3 ms at p95)",
             ylabel="ms")
    for axis in axes[0]:
        canvas.decades(axis, HOSTS)
        axis.set(xlabel="entry hosts", xlim=(0.8, 11),
                 ylim=(0, 1.1 * axis.get_ylim()[1]))
    canvas.legend(fig, axes[0], 4)
    return canvas.Plot(fig, _relay_reading(token, most, load))


def _hosts(count):
    return "1 host" if count == 1 else f"{count} hosts"


def _relay_reading(token, most, load):
    cpu = "; ".join(f"{value:.0f} µs with {_hosts(hosts)} "
                    f"({_verdict(value, TOKEN_GOAL_US)})"
                    for hosts, value in zip(*token))
    added = "; ".join(f"{value:.1f} ms with {_hosts(hosts)} "
                      f"({_verdict(value, ADDED_GOAL_MS)})"
                      for hosts, value in zip(*most))
    loads = "; ".join(f"{value:.1f} with {_hosts(hosts)}"
                      for hosts, value in zip(*load))
    return (f"A token costs {cpu}. Added at p95: {added}. The machine's "
            f"load average when each run began: {loads or 'not kept'}.")


def claims(asked):
    """Writes a claim and wait for a claim, by window and load."""
    fig, axes = canvas.grid(1, 2, 3.2)
    writes, wait = axes[0]
    found, waits = {}, {}
    for index, load in enumerate(LOADS):
        name = "claims.window_{}s.load_" + load
        label = f"{load} claims/s"
        found[load] = asked.by_name(f"{name}.writes_a_claim", WINDOWS)
        waits[load] = asked.by_name(f"{name}.wait_p95", WINDOWS)
        _line(writes, _numbers(found[load]), index, label)
        _line(wait, _numbers(waits[load]), index, label)
    if not any(data[0] for data in found.values()):
        return NONE
    writes.set(title="platform writes a claim", ylabel="writes",
               yscale="log")
    canvas.plain_log(writes.yaxis)
    wait.set(title="wait for a claim, p95", ylabel="s", ylim=(0, 1.08))
    for axis in axes[0]:
        axis.set(xlabel="window, s", xlim=(0, 1.08))
        axis.set_xticks([float(each) for each in WINDOWS], WINDOWS)
    canvas.legend(fig, axes[0], 4)
    return canvas.Plot(fig, _claims_reading(found, waits))


def _numbers(data):
    return [float(each) for each in data[0]], data[1]


def _claims_reading(found, waits):
    windows, writes = found[LOADS[-1]]
    parts = [f"a window of {window} s takes {value:.3f} writes a claim"
             for window, value in zip(windows, writes)]
    parts += [f"with {window} s the p95 of the wait is {value:.3f} s"
              for window, value in zip(*waits[LOADS[-1]])]
    return f"At {LOADS[-1]} claims/s {'; '.join(parts)}."
