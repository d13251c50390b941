"""Servers that leave, by the store or by what they say in their answers.

The load that this answers: a server that leaves while the store is away,
or whose entry hosts see late. It says so in its answers, each of which
reaches one host, so hosts tell each other. A life of a server that leaves
does not come back: no later word ends this, as a host that sends it
nothing could hear none.
"""

from crocuskeel.core.entry import effects

__all__ = ["forget", "heard", "is_leaving", "rows", "said"]

# A server that is no longer listed is remembered for this long, s: its
# entry may have lapsed and come back.
KEPT_S = 60.0


def said(host, attempt, now):
    """Note that an answer to an attempt says so; return what is new."""
    return _learn(host, attempt.sid, attempt.incarnation, now)


def heard(host, told, now):
    """Take what another host tells: (server id, name of its life)."""
    out = []
    for sid, incarnation in told:
        out += _learn(host, sid, incarnation, now)
    return out


def _learn(host, sid, incarnation, now):
    if incarnation in host.leaving:
        return []
    host.leaving[incarnation] = sid, now
    return [effects.Note("server_leaving", {"server": sid})]


def is_leaving(host, server):
    """Say whether a server should get nothing new."""
    if server.draining:
        return True
    return bool(host.leaving) and server.incarnation in host.leaving


def rows(host):
    """Return what to tell others: the store doesn't tell it yet."""
    return tuple((sid, incarnation)
                 for incarnation, (sid, _) in host.leaving.items()
                 if _is_listed_as_ready(host, sid, incarnation))


def _is_listed_as_ready(host, sid, incarnation):
    state = host.servers.get(sid)
    return (state is not None and not state.server.draining
            and state.server.incarnation == incarnation)


def forget(host, now):
    """Forget servers that have been gone for long."""
    for incarnation, (sid, at) in list(host.leaving.items()):
        if sid not in host.servers and at < now - KEPT_S:
            del host.leaving[incarnation]
