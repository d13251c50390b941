"""The sums of docs/CAPACITY.md: from measured slopes to the target."""

import dataclasses
import math

__all__ = ["TARGET", "Target", "tables"]


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """What the letter asks for; rates a second, sizes in bytes."""

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
LEDGER_KEPT_S = 900
SLOT_WRITES = 3
# A look before a refusal shares its slot's reads (core/claims/looking).
SLOT_LOOKS = 5
DAY_S = 86_400
# Sealing and opening one batch around a message, both ends, shared by
# the messages of a flush; counted in full for each message here.
SEAL_US = 13
LOCATES_A_HOST = 10
READ_OWNER_S = 1.0
READ_OTHER_S = 15.0


def _pct(us_a_second):
    return us_a_second / 1e6 * 100


def _fits(value, budget):
    return f"{value / budget:.0%} of it"


def _requests_a_host():
    return TARGET.requests / TARGET.daemons


def _cells():
    return math.ceil(TARGET.engines / CELL_SIZE)


def _busiest_cells(share=0.001):
    # Cells are spread by hashing, so their number a host is close to
    # Poisson; this many or more are on fewer than ``share`` of hosts.
    mean = _cells() / TARGET.daemons
    below, term, count = 0.0, math.exp(-mean), 0
    while below + term < 1 - share:
        below += term
        count += 1
        term *= mean / count
    return count


def _door_pct(figures):
    a_request = figures.get("door_cpu_a_request_queue_0", CELL_SIZE)
    return _pct(_requests_a_host() * a_request)


def _wire_pct(figures):
    count = figures.get("grant_messages_a_request_queue_0", CELL_SIZE)
    one = figures.get("wire_cpu_a_message_both_ends") + SEAL_US
    # Each message costs half at its sender and half at its receiver,
    # and a host is both for its share of requests.
    return _pct(_requests_a_host() * count * one)


def _dispatch_pct(figures, cells):
    a_request = figures.get("dispatcher_cpu_a_request_queue_0", CELL_SIZE)
    a_cell = TARGET.requests / _cells()
    return _pct(cells * a_cell * a_request)


def _changes_a_second():
    return TARGET.changes_a_day / DAY_S


def _settings_pct(figures):
    one = figures.get("settings_cpu_a_change_a_host", TARGET.daemons)
    return _pct(_changes_a_second() * one)


def _locate_pct(figures):
    one = figures.get("locate_cpu_an_answer", TARGET.daemons)
    return _pct(LOCATES_A_HOST * one)


def _cpu_rows(figures):
    mean_cells = _cells() / TARGET.daemons
    members = figures.get("membership.cpu", TARGET.daemons)
    busiest = _busiest_cells()
    rows = [
        ("door: reducer", _door_pct(figures),
         f"{_requests_a_host():.1f} requests/s a host"),
        ("peer messages: codec and seal", _wire_pct(figures),
         "3 messages a request"),
        ("dispatcher, mean host", _dispatch_pct(figures, mean_cells),
         f"{_cells()} cells of {CELL_SIZE} engines"),
        ("membership", members, "measured at 470 hosts"),
        ("settings follower", _settings_pct(figures),
         f"{TARGET.changes_a_day} changes a day"),
        ("locate", _locate_pct(figures),
         f"{LOCATES_A_HOST} answers/s a host (assumed)"),
    ]
    total = sum(value for _, value, _ in rows)
    extra = _dispatch_pct(figures, busiest - mean_cells)
    out = [(role, f"{value:.2f} %", basis, "")
           for role, value, basis in rows]
    out.append(("**sum, mean host**", f"**{total:.2f} %**", "",
                _fits(total, TARGET.cpu_share)))
    out.append((f"**sum, host with {busiest} cells (1 in 1,000)**",
                f"**{total + extra:.2f} %**", "",
                _fits(total + extra, TARGET.cpu_share)))
    holder = figures.get("control_cpu_rollout", TARGET.engines)
    out.append(("control program, its holder, in a rollout",
                f"{holder:.2f} %", "1,700 engines, HTTP not counted",
                _fits(holder, TARGET.cpu_share)))
    return out


def _byte_rows(figures):
    grants = figures.get("grant_bytes_a_request_queue_0", CELL_SIZE)
    # A request's messages are sent by two hosts together.
    grant_bytes = grants * _requests_a_host()
    members = figures.get("membership.bytes", TARGET.daemons)
    change = figures.get("settings_bytes_a_change_a_host",
                         TARGET.daemons)
    settings = change * _changes_a_second()
    control = members + settings
    return [
        ("membership", f"{members:.0f} B/s", "datagrams, sealed", ""),
        ("settings", f"{settings:.0f} B/s",
         f"{change:.0f} B a change a host", ""),
        ("**sum without grants**", f"**{control:.0f} B/s**", "",
         _fits(control, TARGET.bytes_s)),
        ("grants, all to other hosts", f"{grant_bytes:.0f} B/s",
         f"{grants:.0f} B a request, bodies and tokens not in it",
         _fits(control + grant_bytes, TARGET.bytes_s) + " with the sum"),
    ]


def _platform_rows(figures):
    owners = TARGET.daemons * (1 - math.exp(-_cells() / TARGET.daemons))
    lists = (owners / READ_OWNER_S
             + (TARGET.daemons - owners) / READ_OTHER_S)
    settings = figures.get("settings_platform_reads", TARGET.daemons)
    writes = LEDGER_SLOTS * SLOT_WRITES
    looks = LEDGER_SLOTS * SLOT_LOOKS
    reads = lists + settings + looks
    entry = max(value for (name, _), value in figures.values.items()
                if name.endswith("bytes_an_entry"))
    claims = LEDGER_SLOTS * LEDGER_MAX_BYTES / entry / LEDGER_KEPT_S
    return [
        ("host list reads", f"{lists:.0f}/s",
         "every second by hosts with cells, else every 15 s", ""),
        ("settings reads and watches", f"{settings:.1f}/s",
         "3 watchers, slow reads by the others", ""),
        ("claims: looks before refusals at most", f"{looks}/s",
         f"one shared read each {1 / SLOT_LOOKS:.1f} s a slot", ""),
        ("**reads**", f"**{reads:.0f}/s**", "",
         _fits(reads, TARGET.platform_reads)),
        ("claims: writes at most", f"{writes}/s",
         f"{LEDGER_SLOTS} slots, {SLOT_WRITES} group commits/s each",
         _fits(writes, TARGET.platform_writes)),
        ("claims kept at most", f"{claims:.0f}/s",
         f"{entry:.0f} B an entry, kept {LEDGER_KEPT_S} s, "
         f"{LEDGER_MAX_BYTES // 1024} KiB a ledger",
         f"{claims / TARGET.requests:.1%} of the requests"),
    ]


def _memory_rows(figures):
    daemon = figures.get("memory_daemon")
    core = figures.get("memory_core_wire")
    bare = figures.get("memory_python")
    tree = figures.get("settings_memory", TARGET.workspaces)
    control = core - bare + tree
    return [
        ("Python itself", f"{bare:.1f} MB", "fresh interpreter", ""),
        ("core and wire above it", f"{core - bare:.1f} MB",
         "imports, protobuf in it", ""),
        ("settings of 18,000 workspaces", f"{tree:.1f} MB",
         "500 resolved", ""),
        ("**control: core, wire, settings**", f"**{control:.1f} MB**",
         "without Python and the HTTP libraries",
         _fits(control, TARGET.memory_mb)),
        ("whole daemon, imports only", f"{daemon:.1f} MB",
         "twisted, klein, treq, grpclib in it",
         _fits(daemon, TARGET.memory_mb)),
    ]


def _serving_rows(figures):
    found = sorted(name for name, _ in figures.values
                   if name.endswith(".cpu_per_token"))
    rows = []
    for name in found:
        token = figures.get(name)
        share = _pct(token * TARGET.tokens / TARGET.daemons)
        request = figures.get(name.replace("token", "request"))
        rows.append((name.split(".")[0], f"{token:.1f} us",
                     f"{request:.0f} us",
                     f"{share + _pct(request * _requests_a_host()):.0f} "
                     "% of a core"))
    return rows


def tables(figures):
    """Return the page's tables: title, header and rows of each."""
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
