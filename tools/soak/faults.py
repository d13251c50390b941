"""Injected faults, drawn from the seed; each is undone after a while.

Faults overlap: a new one begins each second, and most last longer. A run
has only a few kinds: with all kinds at once, no component would be
undisturbed for long enough to check its guarantees.
"""

from tools.soak import checks
from tools.soak import cut_checks
from tools.soak import cuts
from tools.soak import engine as engines
from tools.soak import load_faults
from tools.soak import part_faults
from tools.soak import rejoin_faults
from tools.soak import stop_faults

__all__ = ["FAULTS", "PLANNED_WORK", "choose_kinds", "do_planned_work",
           "inject_fault"]

GRACE_S = 8.0
# A host serves again this long after it was started, s.
START_S = 2.0
KINDS_PER_RUN = 3
SEVERED_SHARE = 0.7
# How long a host is cut off from all servers, s.
CUT_S = 6.0
# Runs of these seeds have hosts that are cut off from all servers.
CUT_SEEDS = range(1300, 1400)
# Runs of these seeds have engines of several software versions.
VERSION_SEEDS = range(1400, 1500)
# Runs of these seeds have restores of the store.
RESTORE_SEEDS = range(1100, 1200)
# Runs of these seeds have requests that crash servers in each form.
CRASH_SEEDS = range(1200, 1300)
# How often another restore of the store follows one.
REPEAT_SHARE = 0.3


def choose_kinds(rng, seed):
    """Return the kinds of faults of a run.

    Lower seeds draw only from the kinds that existed when they were first
    used, so that seeds that failed once can be reproduced.
    """
    if seed in rejoin_faults.REJOIN_SEEDS:
        return rejoin_faults.choose_kinds(seed)
    if seed in stop_faults.STOP_SEEDS:
        return [*stop_faults.KINDS, stop_faults.starve,
                *rng.sample(STORE_FAULTS, 2)]
    available = FAULTS
    for first_seed, added in ADDED_KINDS:
        if seed >= first_seed:
            available += added
    kinds = rng.sample(available, KINDS_PER_RUN)
    if seed in RESTORE_SEEDS and _restore not in kinds:
        kinds[0] = _restore
    if seed in CRASH_SEEDS and _poison_in_each_form not in kinds:
        kinds[0] = _poison_in_each_form
    if seed in CUT_SEEDS and _cut_off not in kinds:
        kinds[0] = _cut_off
    if seed in VERSION_SEEDS and _roll_version not in kinds:
        kinds[0] = _roll_version
    if seed in part_faults.PART_SEEDS and (
            part_faults.send_bad_part not in kinds):
        kinds[0] = part_faults.send_bad_part
    if seed in load_faults.CLASS_BURST_SEEDS and (
            load_faults.burst_class not in kinds):
        kinds[0] = load_faults.burst_class
    return kinds


def inject_fault(soak):
    """Inject one fault of the run's kinds, or those that are due."""
    if soak.schedule is not None:
        for kind in next(soak.schedule):
            soak.note_fault("plan", kind.__name__)
            kind(soak)
        return
    soak.rng.choice(soak.fault_kinds)(soak)


def do_planned_work(soak):
    """Do one planned operation, which callers must not notice."""
    work = PLANNED_WORK[1:] if soak.stops else PLANNED_WORK
    soak.rng.choice(REJOIN_WORK if soak.rejoins else work)(soak)


def _random_host(soak):
    return soak.rng.randrange(len(soak.fleet.ips))


def _kill(soak):
    number = _random_host(soak)
    soak.note_fault(soak.fleet.ips[number], "kill", 1.0)
    soak.fleet.signal(number, "SIGKILL")
    soak.fleet.restart(number, soak.call_later)


def _kill_all(soak):
    for number, ip in enumerate(soak.fleet.ips):
        soak.note_fault(ip, "kill all", 1.0)
        soak.fleet.signal(number, "SIGKILL")
    for number in range(len(soak.fleet.ips)):
        soak.fleet.restart(number, soak.call_later)


def _pause(soak):
    number = _random_host(soak)
    soak.note_fault(soak.fleet.ips[number], "pause", 0.8)
    soak.fleet.signal(number, "SIGSTOP")
    soak.call_later(0.8, soak.fleet.signal, number, "SIGCONT")


def _stop(soak):
    # A planned stop does not count as a disturbance: no request may fail.
    # The host is started again after its grace period.
    number = _random_host(soak)
    if number in soak.stopping:
        return
    soak.stopping.add(number)
    soak.note_fault("plan", "planned stop", GRACE_S)
    now = soak.reactor.seconds()
    soak.record.stops.append(
        (soak.fleet.ips[number], now, now + GRACE_S + START_S))
    soak.fleet.signal(number, "SIGTERM")
    soak.call_later(GRACE_S, _restart_host, soak, number)


def _restart_host(soak, number):
    soak.stopping.discard(number)
    soak.note_fault(soak.fleet.ips[number], "start", 1.0)
    soak.fleet.signal(number, "SIGKILL")
    soak.fleet.restart(number, soak.call_later)


def _crash(soak):
    soak.crash(soak.any_engine())


def _reborn(soak):
    soak.restart_engine(soak.any_engine())


def _other_writer(soak):
    # Another program writes invalid entries; one names an unknown service
    # with the address of a real server.
    soak.note_fault("plan", "foreign entries", 2.0)
    valid = soak.entry(soak.any_engine())
    for number, override in enumerate(BAD_ENTRIES):
        spec = override if override is None else {**valid, **override}
        soak.store.put("servers", f"other-{number}", spec)
        soak.call_later(2.0, soak.store.remove, "servers", f"other-{number}")


def _poison(soak):
    # A caller sends it repeatedly, to random hosts.
    body = engines.POISON + b"%d" % soak.last_number
    kind = soak.rng.choice(("safe", "unsafe"))
    soak.note_fault("plan", "poison request", 4.0)
    for number in range(8):
        soak.call_later(0.5 * number, soak.send_body, kind, body)


def _poison_in_each_form(soak):
    # Servers crash in one of several forms. Harmless requests that are
    # identical to each other run beside those that crash them.
    form = soak.rng.choice(sorted(engines.CRASH_FORMS))
    kind = soak.rng.choice(checks.KINDS)
    soak.note_fault("plan", "poison request", 4.0)
    for number in range(12):
        soak.call_later(0.3 * number, soak.send_body, kind, b"%s:%s:%d" % (
            engines.POISON, form, soak.last_number))
    for number in range(24):
        soak.call_later(0.2 * number, soak.send_body, kind, b"%s %d" % (
            checks.IDENTICAL, soak.last_number))


def _cut_off(soak):
    """Cut some hosts off from all servers, in one form; one is left."""
    count = soak.rng.randrange(1, len(soak.fleet.ips))
    form = soak.rng.choice(cuts.FORMS)
    links = [soak.links[sid] for sid in soak.engines]
    for ip in soak.rng.sample(soak.fleet.ips, count):
        others = set(soak.fleet.ips) - {ip}
        if ip not in soak.cuts.forms and others - soak.cuts.forms.keys():
            soak.note_fault(ip, cut_checks.CUT_OFF, CUT_S)
            soak.cuts.cut(ip, form, links)
            soak.call_later(CUT_S, soak.cuts.reconnect, ip)


def _roll_version(soak):
    """Engines of a new version start, and some of the oldest one leave."""
    oldest = next(filter(soak.serving, soak.engine_versions), None)
    if oldest is None:
        # All engines are down.
        return
    version = f"v{len(soak.engine_versions) + 1}"
    soak.engine_versions.append(version)
    soak.note_fault("plan", "another software version", 6.0)
    for _ in range(2):
        soak.add_engine("engines", version)
    for sid in soak.serving(oldest)[:2]:
        soak.call_later(1.0, soak.leave, sid)
        soak.call_later(7.0, soak.end_departed, sid)


def _leave(soak):
    # Planned: a replacement starts first, and the server runs on for a while.
    sid = soak.any_engine()
    soak.note_fault("plan", "server leaves", 6.0)
    soak.add_engine(soak.engines[sid].service, soak.engines[sid].version)
    soak.leave(sid)
    soak.call_later(6.0, soak.end_departed, sid)


def _outage(soak):
    soak.note_fault("store", "store outage", 2.5)
    soak.store.set_down(True)
    soak.call_later(2.5, soak.store.set_down, False)


def _lapse(soak):
    # Entries expire during an outage; servers register again after it.
    soak.note_fault("store", "entries expire", 4.5)
    soak.store.set_down(True)
    expired = soak.store.expire("servers")
    soak.call_later(2.5, soak.store.set_down, False)
    soak.call_later(3.5, soak.reregister, expired)


def _silent_store(soak):
    soak.note_fault("store", "store silent", 2.5)
    soak.store.set_silent(True)
    soak.call_later(2.5, soak.store.set_silent, False)


def _restore(soak):
    """The store is away and comes back from a copy, at times twice."""
    away_s = soak.rng.uniform(0.3, 3.0)
    soak.note_fault("store", checks.RESTORED, away_s)
    soak.store.set_down(True)
    soak.call_later(away_s, soak.restore_store, soak.rng.uniform(0.0, 10.0))
    if soak.rng.random() < REPEAT_SHARE:
        soak.call_later(away_s + soak.rng.uniform(0.3, 2.0), _restore, soak)


def _slow_store(soak):
    soak.note_fault("store", "store slow", 2.0)
    soak.store.delay_s = 0.3
    soak.call_later(2.0, soak.store.restore)


def _lost_writes(soak):
    soak.note_fault("store", "store responses lost", 2.0)
    soak.store.drops_answers = True
    soak.call_later(2.0, soak.store.restore)


def _need(soak):
    # A server sets a rate limit only once: the check uses the first one.
    sid = soak.any_engine()
    engine = soak.engines[sid]
    if sid in soak.record.limits:
        return
    soak.note_fault("plan", "server rate limit", 6.0)
    engine.set_rate_limit(soak.rng.choice((0.5, 1.0, 2.0)))
    soak.call_later(6.0, engine.set_rate_limit, None)


def _leave_unlisted(soak):
    # The store lists the server until it has ended.
    sid = soak.any_engine()
    engine = soak.engines[sid]
    if engine.leaving:
        return
    soak.note_fault("plan", "unlisted leave", 7.0)
    soak.add_engine(engine.service, engine.version)
    engine.leaving = True
    soak.call_later(7.0, soak.end_unlisted, sid)


def _rest(soak):
    engine = soak.engines[soak.any_engine()]
    soak.note_fault("plan", "server backoff", 4.0)
    engine.backoff_s = soak.rng.choice((1.0, 2.0, 3.0))
    soak.call_later(4.0, _end_backoff, engine)


def _end_backoff(engine):
    engine.backoff_s = None


def _spoil(soak):
    name = soak.rng.choice(("lost", "torn", "full", "error", "mute"))
    soak.note_fault("engines", "servers " + name, 1.5)
    for engine in soak.engines.values():
        engine.faults = {**engines.BASE_FAULT_SHARES, name: 0.3}
    soak.call_later(1.5, _restore_faults, soak)


def _restore_faults(soak):
    for engine in soak.engines.values():
        engine.faults = dict(engines.BASE_FAULT_SHARES)


def _random_link(soak):
    """Return a random link and the place that its faults count for."""
    kind = soak.rng.choice(("store", "front", "engine"))
    if kind == "engine":
        sid = soak.any_engine()
        return soak.links[sid], sid
    ip = soak.rng.choice(soak.fleet.ips)
    if kind == "store":
        return soak.store_links[ip], "store " + ip
    return soak.front_links[ip], ip


def _delay(soak):
    link, where = _random_link(soak)
    soak.note_fault(where, "delay", 1.5)
    link.delay_s = 0.1
    soak.call_later(1.5, link.restore)


def _reset(soak):
    link, where = _random_link(soak)
    soak.note_fault(where, "reset")
    link.reset()


def _forget(soak):
    link, where = _random_link(soak)
    soak.note_fault(where, "connections go silent", 4.0)
    link.silence_open()
    soak.call_later(4.0, link.restore)


def _sever(soak):
    """Silence most connections of a link for good, and some of them twice."""
    link, where = _random_link(soak)
    for delay_s in (0.0, 1.0):
        soak.call_later(delay_s, _silence_most, soak, link, where)


def _silence_most(soak, link, where):
    soak.note_fault(where, "most connections silent", 4.0)
    link.silence_open(lambda: soak.rng.random() < SEVERED_SHARE)


def _one_way(soak):
    link, where = _random_link(soak)
    soak.note_fault(where, "cut one way", 2.0)
    link.set_silent(*soak.rng.choice(((True, False), (False, True))))
    soak.call_later(2.0, link.restore)


def _cut(soak):
    link, where = _random_link(soak)
    soak.note_fault(where, "cut", 2.0)
    link.set_silent(True, True)
    soak.call_later(2.0, link.restore)


def _configure(soak):
    soak.note_fault("plan", "configuration")
    soak.configure()


def _reload(soak):
    number = _random_host(soak)
    soak.note_fault("plan", "settings file changes")
    soak.fleet.write_settings(number, soak.rng.randrange(20, 80))
    if not stop_faults.is_starting(soak, number):
        soak.fleet.signal(number, "SIGHUP")


BAD_ENTRIES = (
    None, {"Service": 7}, {"State": "resting"}, {"Slots": "many"},
    {"Addr": "nowhere"}, {"Seq": None}, {"born": "today"},
    {"Service": "elsewhere"})
# Runs with stops in series leave the first one out.
PLANNED_WORK = (_stop, _leave, load_faults.burst, _configure, _reload)
# All hosts are stopped by a kind of fault in runs that rejoin.
REJOIN_WORK = (_leave, _configure, _reload)
STORE_FAULTS = (_outage, _lapse, _silent_store, _slow_store, _lost_writes)
FAULTS = (
    _kill, _kill_all, _pause, _crash, _poison, _outage, _lapse,
    _slow_store, _lost_writes, _spoil, _delay, _reset, _forget, _one_way,
    _cut,
)
# Kinds that were added later, with the first seed that draws them.
ADDED_KINDS = (
    (200, (_reborn, _other_writer)), (400, (_silent_store,)),
    (500, (_need,)), (600, (_leave_unlisted, _rest)), (1000, (_sever,)),
    (1100, (_restore,)), (1200, (_poison_in_each_form,)),
    (1300, (_cut_off,)), (1400, (_roll_version,)),
    (1500, (part_faults.send_bad_part,)),
    (1600, (load_faults.burst_class,)))
