"""Computes the tables of docs/CAPACITY.md from the measured figures."""

import dataclasses
import math

__all__ = ["TARGET", "Target", "tables"]


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """The required size and budgets; rates per second, sizes in bytes."""

    daemons: int = 470
    engines: int = 1700
    requests: float = 14_000
    tokens: float = 3_200_000
    workspaces: int = 18_000
    changes_a_day: int = 1_900
    cpu_share: float = 2.6
    memory_mb: float = 32
    bytes_s: float = 2_000
    platform_reads: float = 2_000
    platform_writes: float = 200


TARGET = Target()
CELL_SIZE = 4
LEDGER_SLOTS = 64
LEDGER_MAX_BYTES = 512 * 1024
LEDGER_RETENTION_S = 900
SLOT_WRITES_PER_S = 3
# Maximum reads of a slot before refusals; concurrent requests share them.
SLOT_READS_PER_S = 5
DAY_S = 86_400
# Cost at both ends of sealing and opening the batch around a message. The
# messages of a flush share it, but it is counted in full for each here.
SEAL_US_PER_MESSAGE = 13
LOCATES_PER_HOST_S = 10
OWNER_READ_INTERVAL_S = 1.0
OTHER_READ_INTERVAL_S = 15.0


def _cpu_percent(us_per_s):
    return us_per_s / 1e6 * 100


def _share_of_budget(value, budget):
    return f"{value / budget:.0%} of it"


def _requests_per_host():
    return TARGET.requests / TARGET.daemons


def _cells():
    return math.ceil(TARGET.engines / CELL_SIZE)


def _busiest_cells(share=0.001):
    # Cells are placed by hashing, so that their number per host is close
    # to a Poisson distribution. At most ``share`` of the hosts have more
    # cells than the returned number.
    mean = _cells() / TARGET.daemons
    cumulative, term, count = 0.0, math.exp(-mean), 0
    while cumulative + term < 1 - share:
        cumulative += term
        count += 1
        term *= mean / count
    return count


def _entry_host_pct(figures):
    request_us = figures.get("door_cpu_a_request_queue_0", CELL_SIZE)
    return _cpu_percent(_requests_per_host() * request_us)


def _wire_pct(figures):
    count = figures.get("grant_messages_a_request_queue_0", CELL_SIZE)
    unit_cost_us = (figures.get("wire_cpu_a_message_both_ends")
                    + SEAL_US_PER_MESSAGE)
    # Half of the cost of a message is at its sender and half at its
    # receiver, and a host is both for its share of requests.
    return _cpu_percent(_requests_per_host() * count * unit_cost_us)


def _dispatch_pct(figures, cells):
    request_us = figures.get("dispatcher_cpu_a_request_queue_0", CELL_SIZE)
    requests_per_cell = TARGET.requests / _cells()
    return _cpu_percent(cells * requests_per_cell * request_us)


def _changes_per_s():
    return TARGET.changes_a_day / DAY_S


def _settings_pct(figures):
    unit_cost_us = figures.get("settings_cpu_a_change_a_host", TARGET.daemons)
    return _cpu_percent(_changes_per_s() * unit_cost_us)


def _locate_pct(figures):
    unit_cost_us = figures.get("locate_cpu_an_answer", TARGET.daemons)
    return _cpu_percent(LOCATES_PER_HOST_S * unit_cost_us)


def _cpu_rows(figures):
    mean_cells = _cells() / TARGET.daemons
    membership = figures.get("membership.cpu", TARGET.daemons)
    busiest = _busiest_cells()
    rows = [
        ("door: reducer", _entry_host_pct(figures),
         f"{_requests_per_host():.1f} requests/s a host"),
        ("peer messages: codec and seal", _wire_pct(figures),
         "3 messages a request"),
        ("dispatcher, mean host", _dispatch_pct(figures, mean_cells),
         f"{_cells()} cells of {CELL_SIZE} engines"),
        ("membership", membership, "measured at 470 hosts"),
        ("settings follower", _settings_pct(figures),
         f"{TARGET.changes_a_day} changes a day"),
        ("locate", _locate_pct(figures),
         f"{LOCATES_PER_HOST_S} answers/s a host (assumed)"),
    ]
    total = sum(value for _, value, _ in rows)
    busiest_extra = _dispatch_pct(figures, busiest - mean_cells)
    formatted = [(role, f"{value:.2f} %", basis, "")
                 for role, value, basis in rows]
    formatted.append(("**sum, mean host**", f"**{total:.2f} %**", "",
                      _share_of_budget(total, TARGET.cpu_share)))
    formatted.append((
        f"**sum, host with {busiest} cells (1 in 1,000)**",
        f"**{total + busiest_extra:.2f} %**", "",
        _share_of_budget(total + busiest_extra, TARGET.cpu_share)))
    lease_holder = figures.get("control_cpu_rollout", TARGET.engines)
    formatted.append((
        "control program, its holder, in a rollout", f"{lease_holder:.2f} %",
        "1,700 engines, HTTP not counted",
        _share_of_budget(lease_holder, TARGET.cpu_share)))
    return formatted


def _byte_rows(figures):
    grants = figures.get("grant_bytes_a_request_queue_0", CELL_SIZE)
    # The messages of a request are sent by two hosts in total.
    grant_bytes = grants * _requests_per_host()
    membership = figures.get("membership.bytes", TARGET.daemons)
    change = figures.get("settings_bytes_a_change_a_host",
                         TARGET.daemons)
    settings = change * _changes_per_s()
    total = membership + settings
    return [
        ("membership", f"{membership:.0f} B/s", "datagrams, sealed", ""),
        ("settings", f"{settings:.0f} B/s",
         f"{change:.0f} B a change a host", ""),
        ("**sum without grants**", f"**{total:.0f} B/s**", "",
         _share_of_budget(total, TARGET.bytes_s)),
        ("grants, all to other hosts", f"{grant_bytes:.0f} B/s",
         f"{grants:.0f} B a request, bodies and tokens not in it",
         _share_of_budget(total + grant_bytes, TARGET.bytes_s)
         + " with the sum"),
    ]


def _platform_rows(figures):
    owners = TARGET.daemons * (1 - math.exp(-_cells() / TARGET.daemons))
    host_list_reads = (owners / OWNER_READ_INTERVAL_S
                       + (TARGET.daemons - owners) / OTHER_READ_INTERVAL_S)
    settings = figures.get("settings_platform_reads", TARGET.daemons)
    writes = LEDGER_SLOTS * SLOT_WRITES_PER_S
    ledger_reads = LEDGER_SLOTS * SLOT_READS_PER_S
    reads = host_list_reads + settings + ledger_reads
    entry_bytes = max(value for (name, _), value in figures.values.items()
                      if name.endswith("bytes_an_entry"))
    claims_per_s = (LEDGER_SLOTS * LEDGER_MAX_BYTES / entry_bytes
                    / LEDGER_RETENTION_S)
    return [
        ("host list reads", f"{host_list_reads:.0f}/s",
         "every second by hosts with cells, else every 15 s", ""),
        ("settings reads and watches", f"{settings:.1f}/s",
         "3 watchers, slow reads by the others", ""),
        ("claims: looks before refusals at most", f"{ledger_reads}/s",
         f"one shared read each {1 / SLOT_READS_PER_S:.1f} s a slot", ""),
        ("**reads**", f"**{reads:.0f}/s**", "",
         _share_of_budget(reads, TARGET.platform_reads)),
        ("claims: writes at most", f"{writes}/s",
         f"{LEDGER_SLOTS} slots, {SLOT_WRITES_PER_S} group commits/s each",
         _share_of_budget(writes, TARGET.platform_writes)),
        ("claims kept at most", f"{claims_per_s:.0f}/s",
         f"{entry_bytes:.0f} B an entry, kept {LEDGER_RETENTION_S} s, "
         f"{LEDGER_MAX_BYTES // 1024} KiB a ledger",
         f"{claims_per_s / TARGET.requests:.1%} of the requests"),
    ]


def _memory_rows(figures):
    daemon = figures.get("memory_daemon")
    core = figures.get("memory_core_wire")
    interpreter = figures.get("memory_python")
    settings = figures.get("settings_memory", TARGET.workspaces)
    total = core - interpreter + settings
    return [
        ("Python itself", f"{interpreter:.1f} MB", "fresh interpreter", ""),
        ("core and wire above it", f"{core - interpreter:.1f} MB",
         "imports, protobuf in it", ""),
        ("settings of 18,000 workspaces", f"{settings:.1f} MB",
         "500 resolved", ""),
        ("**control: core, wire, settings**", f"**{total:.1f} MB**",
         "without Python and the HTTP libraries",
         _share_of_budget(total, TARGET.memory_mb)),
        ("whole daemon, imports only", f"{daemon:.1f} MB",
         "twisted, klein, treq, grpclib in it",
         _share_of_budget(daemon, TARGET.memory_mb)),
    ]


def _serving_rows(figures):
    names = sorted(name for name, _ in figures.values
                   if name.endswith(".cpu_per_token"))
    rows = []
    for name in names:
        token_us = figures.get(name)
        share = _cpu_percent(token_us * TARGET.tokens / TARGET.daemons)
        request_us = figures.get(name.replace("token", "request"))
        rows.append((
            name.split(".")[0], f"{token_us:.1f} us", f"{request_us:.0f} us",
            f"{share + _cpu_percent(request_us * _requests_per_host()):.0f} "
            "% of a core"))
    return rows


def tables(figures):
    """Return the title, header and rows of each of the page's tables."""
    header = ("Role", "At the target", "Worked out from", "Budget")
    return (
        ("Processor time for control, a host (budget 2.6 % of a core)",
         header, _cpu_rows(figures)),
        ("Bytes for control, a host (budget 2 KB/s)", header,
         _byte_rows(figures)),
        ("Platform calls, whole fleet", header, _platform_rows(figures)),
        ("Memory for control, a host (budget 32 MB)", header,
         _memory_rows(figures)),
        ("Serving: the token path (no part of control)",
         ("Run", "CPU a token", "CPU a request",
          "At 6,809 tokens/s and 29.8 requests/s"),
         _serving_rows(figures)),
    )
