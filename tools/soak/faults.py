"""Faults caused from outside, drawn from the seed; each ends by itself.

They come in series and overlap: a new one begins each second, and most
last longer. A run has a few kinds of them only: with all kinds at once
nothing would be calm for long enough to say what must hold there.
"""

from tools.soak import engine as engines

__all__ = ["FAULTS", "PLANS", "cause", "choose_kinds", "plan"]

GRACE_S = 8.0
KINDS_A_RUN = 3


def choose_kinds(rng, seed):
    """Return the kinds of faults of a run.

    Earlier seeds keep the kinds that they had: those that failed once are
    played again.
    """
    known = FAULTS
    for begins, newer in NEWER:
        if seed >= begins:
            known += newer
    return rng.sample(known, KINDS_A_RUN)


def cause(soak):
    """Cause one fault of the run's kinds."""
    soak.rng.choice(soak.kinds)(soak)


def plan(soak):
    """Do a piece of planned work, which nobody may notice."""
    soak.rng.choice(PLANS)(soak)


def _host(soak):
    return soak.rng.randrange(len(soak.fleet.ips))


def _kill(soak):
    number = _host(soak)
    soak.note_fault(soak.fleet.ips[number], "kill", 1.0)
    soak.fleet.signal(number, "SIGKILL")
    soak.fleet.restart(number, soak.later)


def _kill_all(soak):
    for number, ip in enumerate(soak.fleet.ips):
        soak.note_fault(ip, "kill all", 1.0)
        soak.fleet.signal(number, "SIGKILL")
    for number in range(len(soak.fleet.ips)):
        soak.fleet.restart(number, soak.later)


def _pause(soak):
    number = _host(soak)
    soak.note_fault(soak.fleet.ips[number], "pause", 0.8)
    soak.fleet.signal(number, "SIGSTOP")
    soak.later(0.8, soak.fleet.signal, number, "SIGCONT")


def _stop(soak):
    # A planned stop is no disturbance: requests must not notice it. The
    # host starts again after its grace.
    number = _host(soak)
    if number in soak.stopping:
        return
    soak.stopping.add(number)
    soak.note_fault("plan", "planned stop", GRACE_S)
    soak.fleet.signal(number, "SIGTERM")
    soak.later(GRACE_S, _restart, soak, number)


def _restart(soak, number):
    soak.stopping.discard(number)
    soak.note_fault(soak.fleet.ips[number], "start", 1.0)
    soak.fleet.signal(number, "SIGKILL")
    soak.fleet.restart(number, soak.later)


def _crash(soak):
    soak.crash(soak.any_engine())


def _reborn(soak):
    soak.restart_engine(soak.any_engine())


def _other_writer(soak):
    # Another program writes entries that name no server; one is of a
    # service that nobody asked for, at the address of a server.
    soak.note_fault("plan", "entries of another writer", 2.0)
    good = soak.entry(soak.any_engine())
    for number, change in enumerate(BAD_ENTRIES):
        spec = change if change is None else {**good, **change}
        soak.store.put("servers", f"other-{number}", spec)
        soak.later(2.0, soak.store.remove, "servers", f"other-{number}")


def _poison(soak):
    # Its caller sends it again and again, to any host.
    body = engines.POISON + b"%d" % soak.numbered
    kind = soak.rng.choice(("safe", "unsafe"))
    soak.note_fault("plan", "a request that crashes servers", 4.0)
    for number in range(8):
        soak.later(0.5 * number, soak.poison, kind, body)


def _leave(soak):
    # Planned: its place is taken before it goes, and it serves on.
    sid = soak.any_engine()
    soak.note_fault("plan", "server leaves", 6.0)
    soak.add_engine(soak.engines[sid].service)
    soak.leave(sid)
    soak.later(6.0, soak.end_left, sid)


def _outage(soak):
    soak.note_fault("store", "store away", 2.5)
    soak.store.set_down(True)
    soak.later(2.5, soak.store.set_down, False)


def _lapse(soak):
    # Entries run out in an outage; servers register again after it.
    soak.note_fault("store", "entries lapse", 4.5)
    soak.store.set_down(True)
    lapsed = soak.store.lapse("servers")
    soak.later(2.5, soak.store.set_down, False)
    soak.later(3.5, soak.register_again, lapsed)


def _silent_store(soak):
    soak.note_fault("store", "store silent", 2.5)
    soak.store.set_silent(True)
    soak.later(2.5, soak.store.set_silent, False)


def _slow_store(soak):
    soak.note_fault("store", "store slow", 2.0)
    soak.store.delay_s = 0.3
    soak.later(2.0, soak.store.mend)


def _lost_writes(soak):
    soak.note_fault("store", "store's answers lost", 2.0)
    soak.store.loses = True
    soak.later(2.0, soak.store.mend)


def _need(soak):
    # It names a rate once in its life: the check goes by the first.
    sid = soak.any_engine()
    engine = soak.engines[sid]
    if sid in soak.record.limits:
        return
    soak.note_fault("plan", "server names a rate", 6.0)
    engine.name_rate(soak.rng.choice((0.5, 1.0, 2.0)))
    soak.later(6.0, engine.name_rate, None)


def _leave_unlisted(soak):
    # The store never takes its word, and lists it until it has ended.
    sid = soak.any_engine()
    engine = soak.engines[sid]
    if engine.leaving:
        return
    soak.note_fault("plan", "server leaves by its answers", 7.0)
    soak.add_engine(engine.service)
    engine.leaving = True
    soak.later(7.0, soak.leave_ended, sid)


def _rest(soak):
    engine = soak.engines[soak.any_engine()]
    soak.note_fault("plan", "server wants rest", 4.0)
    engine.rest_s = soak.rng.choice((1.0, 2.0, 3.0))
    soak.later(4.0, _rested, engine)


def _rested(engine):
    engine.rest_s = None


def _spoil(soak):
    name = soak.rng.choice(("lost", "torn", "full", "error", "mute"))
    soak.note_fault("engines", "servers " + name, 1.5)
    for engine in soak.engines.values():
        engine.faults = {**engines.USUAL, name: 0.3}
    soak.later(1.5, _heal, soak)


def _heal(soak):
    for engine in soak.engines.values():
        engine.faults = dict(engines.USUAL)


def _link(soak):
    """Return a link drawn at random, and what it is a fault of."""
    kind = soak.rng.choice(("store", "front", "engine"))
    if kind == "engine":
        sid = soak.any_engine()
        return soak.links[sid], sid
    ip = soak.rng.choice(soak.fleet.ips)
    if kind == "store":
        return soak.store_links[ip], "store " + ip
    return soak.fronts[ip], ip


def _delay(soak):
    link, where = _link(soak)
    soak.note_fault(where, "delay", 1.5)
    link.delay_s = 0.1
    soak.later(1.5, link.mend)


def _reset(soak):
    link, where = _link(soak)
    soak.note_fault(where, "reset")
    link.reset()


def _forget(soak):
    link, where = _link(soak)
    soak.note_fault(where, "connections go silent", 4.0)
    link.forget()
    soak.later(4.0, link.mend)


def _one_way(soak):
    link, where = _link(soak)
    soak.note_fault(where, "cut one way", 2.0)
    link.set_silent(*soak.rng.choice(((True, False), (False, True))))
    soak.later(2.0, link.mend)


def _cut(soak):
    link, where = _link(soak)
    soak.note_fault(where, "cut", 2.0)
    link.set_silent(True, True)
    soak.later(2.0, link.mend)


def _burst(soak):
    soak.note_fault("plan", "burst", 2.0)
    soak.burst(4.0)
    soak.later(2.0, soak.burst, 1.0)


def _configure(soak):
    soak.note_fault("plan", "configuration")
    soak.configure()


def _reload(soak):
    number = _host(soak)
    soak.note_fault("plan", "settings file changes")
    soak.fleet.write_settings(number, soak.rng.randrange(20, 80))
    soak.fleet.signal(number, "SIGHUP")


BAD_ENTRIES = (
    None, {"Service": 7}, {"State": "resting"}, {"Slots": "many"},
    {"Addr": "nowhere"}, {"Seq": None}, {"born": "today"},
    {"Service": "elsewhere"})
PLANS = (_stop, _leave, _burst, _configure, _reload)
FAULTS = (
    _kill, _kill_all, _pause, _crash, _poison, _outage, _lapse,
    _slow_store, _lost_writes, _spoil, _delay, _reset, _forget, _one_way,
    _cut,
)
# Kinds that came later, and the first seed that draws them.
NEWER = ((200, (_reborn, _other_writer)), (400, (_silent_store,)),
         (500, (_need,)), (600, (_leave_unlisted, _rest)))
