"""Fetches a newer generation from a peer or the platform.

Deltas are used if the head still names all missing ones; otherwise the
tree is built from the head's index and the parts not held yet. A tree is
held only if it is complete and verified and its generation is greater:
generations never go back.
"""

from crocuskeel import conf
from crocuskeel.conf import storage
from crocuskeel.core import effects
from crocuskeel.core.follower import adoption
from crocuskeel.core.follower import state as states
from crocuskeel.core import messages

__all__ = ["continue_load", "part_received", "start_load"]

MAX_PARTS_REQUESTED = 16
MAX_DELTAS_KEPT = 64


def start_load(daemon, head, source, received=()):
    """Start to load the generation of ``head``; return effects.

    ``source`` is a peer that holds it, or "" for the platform. ``received``
    are parts that came with the head. A load in progress for the same or a
    newer generation continues instead, and takes the parts over.
    """
    state = daemon.follower
    if state.leaving or head.generation <= states.held_generation(daemon):
        return []
    state.newest_known_generation = max(
        state.newest_known_generation, head.generation)
    load = state.load
    if load is None or load.head.generation < head.generation:
        load = states.Load(head, source)
        if state.load is not None:
            load.parts.update(state.load.parts)
        state.load = load
    if source and head.generation == load.head.generation:
        load.holders[source] = state.contacts[source].incarnation
    for part in received:
        load.parts[part.digest] = part
    return continue_load(daemon)


def part_received(daemon, digest, blob):
    """Handle a requested part; return effects."""
    load = daemon.follower.load
    if load is None or digest not in load.requested:
        return []
    load.requested.discard(digest)
    load.parts[digest] = conf.Part(digest, blob)
    return continue_load(daemon)


def continue_load(daemon):
    """Request the missing parts, or hold the tree if none is missing."""
    load = daemon.follower.load
    try:
        missing = _missing(daemon, load)
        if missing:
            return _fetch(load, missing)
        tree = _build(daemon, load)
    except conf.PartCorrupt as exc:
        # A corrupt part must not come into force. Drop all fetched parts
        # and let the retry timer ask another source.
        load.parts.clear()
        load.requested.clear()
        fields = (("source", load.source), ("fault", str(exc)))
        return [effects.Record("settings_corrupt", "", fields)]
    if tree is None:
        load.use_index = True
        return continue_load(daemon)
    return _hold(daemon, load, tree)


def _delta_digests(daemon, load):
    # None: the head does not name all deltas since the held generation.
    have = states.held_generation(daemon)
    if load.use_index or have == 0:
        return None
    wanted = range(have + 1, load.head.generation + 1)
    digests = [storage.find_delta_digest(load.head, number)
               for number in wanted]
    return None if None in digests else digests


def _missing(daemon, load):
    digests = _delta_digests(daemon, load)
    if digests is None:
        digests = [load.head.index_digest]
        index = load.parts.get(load.head.index_digest)
        if index is not None:
            digests = sorted(storage.missing_parts(
                storage.decode_index(index), _base_tree(daemon.follower)))
    return [name for name in digests if name not in load.parts]


def _fetch(load, missing):
    room = MAX_PARTS_REQUESTED - len(load.requested)
    new = [name for name in missing
           if name not in load.requested][:room]
    load.requested.update(new)
    if load.source:
        return [effects.Send(load.source, messages.PartAsk(name))
                for name in new]
    return [effects.StoreGet(("follower", "part", name),
                             storage.part_key(name))
            for name in new]


def _build(daemon, load):
    # The new tree, or None if the deltas cannot be applied.
    digests = _delta_digests(daemon, load)
    if digests is None:
        index = storage.decode_index(load.parts[load.head.index_digest])
        return storage.assemble(load.head.generation, index, load.parts,
                                _base_tree(daemon.follower))
    tree = _base_tree(daemon.follower)
    for digest in digests:
        delta = storage.decode_delta(load.parts[digest])
        advanced = storage.apply_delta(tree, delta)
        if advanced.is_err():
            return None
        tree = advanced.unwrap()
    return tree


def _base_tree(state):
    return state.held if state.held is not None else state.tree


def _hold(daemon, load, tree):
    state = daemon.follower
    _keep_deltas(state, load)
    state.held = tree
    state.encoded_head = storage.encode_head(load.head)
    state.load = None
    state.asked_holder = ""
    fields = (("held", tree.generation), ("source", load.source),
              ("batch", load.head.batch_id))
    out = [effects.Record("settings_held", "", fields)]
    out += adoption.announce(daemon, load.source)
    return out + adoption.adopt_if_confirmed(
        daemon, _is_held_by_peer(state, load))


def _is_held_by_peer(state, load):
    # A peer that has restarted since it said so may have lost it.
    return any(state.contacts[host].incarnation == incarnation
               for host, incarnation in load.holders.items()
               if host in state.contacts)


def _keep_deltas(state, load):
    for entry in load.head.recent_batches:
        part = load.parts.get(entry.delta_digest)
        if part is not None:
            state.deltas[entry.delta_digest] = part
    while len(state.deltas) > MAX_DELTAS_KEPT:
        state.deltas.pop(next(iter(state.deltas)))
