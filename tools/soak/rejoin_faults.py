"""All hosts end while software versions change, and streams are taken up.

Each kind of fault begins with two versions in service. The kinds follow each
other in an order drawn from the seed, some of them overlapping, and each is
followed by a while in which hosts are up and undisturbed.
"""

from tools.soak import cut_answers

__all__ = ["CONTROL_SEEDS", "EVENT_S", "KINDS", "REJOIN_SEEDS", "choose_kinds",
           "new_schedule"]

# Runs of these seeds have only these faults; those of CONTROL_SEEDS have one
# version throughout, those of CUT_SEEDS engines that cut their answers.
REJOIN_SEEDS = range(1700, 1800)
CONTROL_SEEDS = range(1740, 1750)
CUT_SEEDS = range(1750, 1800)
# Streams last about a second.
EVENT_S = 0.08
ENGINES_A_VERSION = 3
MAX_VERSIONS = 3
# Two versions serve for so long before the hosts end, s.
PREPARE_S = 1.0
# Undisturbed seconds after a fault, and how often another one overlaps it.
CALM_S = 7
OVERLAP_SHARE = 0.5
# Servers that left serve on for this long, s.
LINGER_S = 6.0
# Interval of polling for the start and the exit of hosts, s.
POLL_S = 0.1
# Grace period of a planned stop, s.
GRACE_S = 8.0


def choose_kinds(seed):
    """Return the kinds of faults of a run."""
    if seed in CONTROL_SEEDS:
        return list(CONTROL_KINDS)
    if seed in CUT_SEEDS:
        return [*KINDS, cut_answers.cut_answers]
    return list(KINDS)


def new_schedule(rng, seed):
    """Yield the faults that begin in each second."""
    while True:
        kinds = rng.sample(choose_kinds(seed), len(choose_kinds(seed)))
        while kinds:
            yield kinds[-1:]
            del kinds[-1:]
            if kinds and rng.random() < OVERLAP_SHARE:
                yield kinds[-1:]
                del kinds[-1:]
            for _ in range(CALM_S):
                yield []


def _current(soak):
    """Return the versions that serve, the oldest one first."""
    return [version for version in soak.engine_versions
            if soak.serving(version)]


def _add(soak, version):
    for _ in range(ENGINES_A_VERSION):
        soak.add_engine("engines", version)


def _end(soak, version):
    """End the servers of a version: at once if no host lives."""
    for sid in soak.serving(version):
        soak.leave(sid)
        if len(soak.killed) == len(soak.fleet.ips):
            soak.end_engine(sid)
        else:
            soak.call_later(LINGER_S, soak.end_departed, sid)


def _join(soak):
    """Servers of a newer version join; the oldest of over three leaves."""
    version = f"v{len(soak.engine_versions) + 1}"
    soak.engine_versions.append(version)
    soak.note_fault("plan", f"{version} joins")
    _add(soak, version)
    for former in _current(soak)[:-MAX_VERSIONS]:
        _end(soak, former)


def _replace(soak):
    """The newest version replaces all others."""
    *former, newest = _current(soak)
    soak.note_fault("plan", f"{newest} replaces others")
    _add(soak, newest)
    for version in former:
        _end(soak, version)


def _take_back(soak):
    """The oldest version replaces the newest."""
    oldest, *_, newest = _current(soak)
    soak.note_fault("plan", f"{newest} is taken back")
    _add(soak, oldest)
    _end(soak, newest)


def _with_two_versions(strike):
    """Return the kind that strikes once two versions have served."""
    def kind(soak):
        if len(_current(soak)) < 2:
            _join(soak)
        soak.call_later(PREPARE_S, strike, soak)

    kind.__name__ = strike.__name__
    return kind


def _away_s(soak):
    rng = soak.fault_rng
    return rng.choice((0.1, rng.uniform(0.3, 1.0), rng.uniform(1.0, 2.5)))


def _kill(soak, number, away_s):
    soak.note_fault(soak.fleet.ips[number], "kill", away_s)
    soak.fleet.signal(number, "SIGKILL")
    soak.stopping.discard(number)
    due = soak.reactor.seconds() + away_s
    soak.killed[number] = max(due, soak.killed.get(number, 0.0))
    soak.killed_at.setdefault(number, soak.reactor.seconds())
    soak.call_later(away_s, _start, soak, number)


def _start(soak, number):
    due = soak.killed.get(number)
    if due is None or due > soak.reactor.seconds():
        # Another fault starts it, or has started it.
        return
    if not soak.fleet.has_ended(number):
        soak.note_fault(soak.fleet.ips[number], "kill", POLL_S)
        soak.call_later(POLL_S, _start, soak, number)
        return
    del soak.killed[number]
    _start_now(soak, number, soak.killed_at.pop(number))


def _start_now(soak, number, away_since):
    soak.fleet.start(number)
    _note_start(soak, number, away_since, soak.fleet.start_counts[number])


def _note_start(soak, number, away_since, count):
    """Note that a host starts until it accepts connections.

    That takes some seconds on a busy machine.
    """
    ip = soak.fleet.ips[number]
    soak.note_fault(ip, "start", POLL_S)
    if (soak.fleet.start_counts[number] != count or number in soak.killed
            or soak.fleet.listens(number)):
        soak.record.away.append((ip, away_since, soak.reactor.seconds()))
        return
    soak.call_later(POLL_S, _note_start, soak, number, away_since, count)


def _kill_all(soak, change=None):
    """Kill all hosts; versions change meanwhile. Return for how long, s."""
    away_s = _away_s(soak)
    for number in range(len(soak.fleet.ips)):
        _kill(soak, number, away_s)
    if change is not None:
        soak.call_later(
            away_s * soak.fault_rng.uniform(0.2, 0.8), _change, soak, change)
    return away_s


def _change(soak, change):
    if len(_current(soak)) > 1 or change is _join:
        change(soak)


def kill_all(soak):
    """All hosts are killed at once; the same versions serve on."""
    _kill_all(soak)


def replace_while_down(soak):
    """The former version is replaced while no host lives."""
    _kill_all(soak, _replace)


def replace_before(soak):
    """The former version's servers leave just before all hosts are killed."""
    _change(soak, _replace)
    soak.call_later(soak.fault_rng.uniform(0.05, 0.6), _kill_all, soak)


def take_back_while_down(soak):
    """The newer version is taken back while no host lives."""
    _kill_all(soak, _take_back)


def join_while_down(soak):
    """A third version joins while no host lives."""
    _kill_all(soak, _join)


def kill_in_turn(soak):
    """Hosts are killed one after the other while a version is replaced."""
    numbers = list(range(len(soak.fleet.ips)))
    soak.fault_rng.shuffle(numbers)
    change = soak.fault_rng.choice((_replace, _take_back, _join))
    soak.call_later(soak.fault_rng.uniform(0.0, 3.0), _change, soak, change)
    _kill_next(soak, numbers)


def _kill_next(soak, numbers):
    if numbers:
        _kill(soak, numbers[0], soak.fault_rng.uniform(0.1, 0.6))
        soak.call_later(POLL_S, _await_start, soak, numbers)


def _await_start(soak, numbers):
    """Kill the next host once the last one accepts connections again."""
    if numbers[0] in soak.killed or not soak.fleet.listens(numbers[0]):
        soak.call_later(POLL_S, _await_start, soak, numbers)
        return
    _kill_next(soak, numbers[1:])


def start_without_store(soak):
    """The store is away, slow or silent as all hosts start."""
    change = soak.fault_rng.choice((_replace, _take_back, None))
    away_s = _kill_all(soak, change)
    span_s = soak.fault_rng.uniform(0.8, 2.5)
    harm, mend, name = soak.fault_rng.choice((
        (lambda: soak.store.set_down(True),
         lambda: soak.store.set_down(False), "store outage"),
        (lambda: soak.store.set_silent(True),
         lambda: soak.store.set_silent(False), "store silent"),
        (lambda: setattr(soak.store, "delay_s", 0.3), soak.store.restore,
         "store slow")))
    soak.note_fault("store", name, away_s + span_s)
    soak.call_later(away_s, harm)
    soak.call_later(away_s + span_s, mend)


def stop_all(soak):
    """All hosts are stopped as planned while versions change."""
    change = soak.fault_rng.choice((_replace, _take_back, _join))
    soak.call_later(soak.fault_rng.uniform(0.0, 1.0), _change, soak, change)
    _stop_all(soak)


def _stop_all(soak):
    now = soak.reactor.seconds()
    for number in range(len(soak.fleet.ips)):
        if number in soak.killed or number in soak.stopping:
            continue
        soak.stopping.add(number)
        soak.note_fault("plan", "planned stop", GRACE_S)
        soak.fleet.signal(number, "SIGTERM")
        _start_stopped(soak, number, now)


def _start_stopped(soak, number, since):
    """Start a host again once it has ended, at the latest after its grace."""
    now = soak.reactor.seconds()
    if number not in soak.stopping:
        # It was killed meanwhile.
        return
    if not soak.fleet.has_ended(number):
        if now >= since + GRACE_S:
            soak.fleet.signal(number, "SIGKILL")
        soak.call_later(POLL_S, _start_stopped, soak, number, since)
        return
    soak.stopping.discard(number)
    soak.record.stops.append((soak.fleet.ips[number], since, now))
    _start_now(soak, number, now)


def stop_all_of_one_version(soak):
    """All hosts are stopped as planned."""
    _stop_all(soak)


def kill_in_turn_of_one_version(soak):
    """Hosts are killed one after the other."""
    _kill_next(soak, list(range(len(soak.fleet.ips))))


KINDS = tuple(map(_with_two_versions, (
    kill_all, replace_while_down, replace_before, take_back_while_down,
    join_while_down, kill_in_turn, start_without_store, stop_all)))
CONTROL_KINDS = (kill_all, kill_in_turn_of_one_version,
                 stop_all_of_one_version)
