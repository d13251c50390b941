"""Fetching a newer generation, from a peer or the platform.

By deltas where the head still names all that are missing; else whole,
by the head's index and the parts not held yet. A tree is held only when
it is complete and checked, and only if its generation is greater:
generations never go back.
"""

from crocuskeel import conf
from crocuskeel.conf import storage
from crocuskeel.core import effects
from crocuskeel.core.follower import force
from crocuskeel.core.follower import state as states
from crocuskeel.core import messages

__all__ = ["begin", "go_on", "part_got"]

MAX_ASKED = 16
MAX_DELTAS_KEPT = 64


def begin(daemon, head, source, given=()):
    """Start to load the generation of ``head``; return effects.

    ``given`` are parts that came along. A load that is under way for
    the same or a newer generation goes on instead, with them.
    """
    state = daemon.follower
    if head.generation <= states.held_generation(daemon):
        return []
    state.newest = max(state.newest, head.generation)
    load = state.load
    if load is None or load.head.generation < head.generation:
        load = states.Load(head, source)
        if state.load is not None:
            load.got.update(state.load.got)
        state.load = load
    for part in given:
        load.got[part.digest] = part
    return go_on(daemon)


def part_got(daemon, digest, blob):
    """Take one part that was asked for; return effects."""
    load = daemon.follower.load
    if load is None or digest not in load.asked:
        return []
    load.asked.discard(digest)
    load.got[digest] = conf.Part(digest, blob)
    return go_on(daemon)


def go_on(daemon):
    """Ask for what is missing, or hold the tree when nothing is."""
    load = daemon.follower.load
    try:
        missing = _missing(daemon, load)
        if missing:
            return _fetch(load, missing)
        tree = _build(daemon, load)
    except conf.PartCorrupt as exc:
        # A damaged part must not be judged by; drop all that was got
        # and let the retry timer ask another source.
        load.got.clear()
        load.asked.clear()
        fields = (("source", load.source), ("fault", str(exc)))
        return [effects.Record("settings_corrupt", "", fields)]
    if tree is None:
        load.whole = True
        return go_on(daemon)
    return _hold(daemon, load, tree)


def _delta_digests(daemon, load):
    # None: some delta between ours and the head's is not named there.
    have = states.held_generation(daemon)
    if load.whole or have == 0:
        return None
    wanted = range(have + 1, load.head.generation + 1)
    digests = [storage.delta_of(load.head, number) for number in wanted]
    return None if None in digests else digests


def _missing(daemon, load):
    digests = _delta_digests(daemon, load)
    if digests is None:
        digests = [load.head.index]
        index = load.got.get(load.head.index)
        if index is not None:
            digests = sorted(storage.missing_parts(
                storage.decode_index(index), _base(daemon.follower)))
    return [name for name in digests if name not in load.got]


def _fetch(load, missing):
    room = MAX_ASKED - len(load.asked)
    fresh = [name for name in missing if name not in load.asked][:room]
    load.asked.update(fresh)
    if load.source:
        return [effects.Send(load.source, messages.PartAsk(name))
                for name in fresh]
    return [effects.StoreGet(("follower", "part", name),
                             storage.part_key(name))
            for name in fresh]


def _build(daemon, load):
    # The new tree; None where the deltas do not lead there.
    digests = _delta_digests(daemon, load)
    if digests is None:
        index = storage.decode_index(load.got[load.head.index])
        return storage.assemble(load.head.generation, index, load.got,
                                _base(daemon.follower))
    tree = _base(daemon.follower)
    for digest in digests:
        delta = storage.decode_delta(load.got[digest])
        reached = storage.advance(tree, delta)
        if reached.is_err():
            return None
        tree = reached.unwrap()
    return tree


def _base(state):
    return state.held if state.held is not None else state.tree


def _hold(daemon, load, tree):
    state = daemon.follower
    _keep_deltas(state, load)
    state.held = tree
    state.head = storage.encode_head(load.head)
    state.load = None
    state.asked_holder = ""
    fields = (("held", tree.generation), ("source", load.source),
              ("batch", load.head.batch_id))
    out = [effects.Record("settings_held", "", fields)]
    out += force.tell(daemon, load.source)
    return out + force.consider(daemon, bool(load.source))


def _keep_deltas(state, load):
    for entry in load.head.recent:
        part = load.got.get(entry.delta)
        if part is not None:
            state.deltas[entry.delta] = part
    while len(state.deltas) > MAX_DELTAS_KEPT:
        state.deltas.pop(next(iter(state.deltas)))
