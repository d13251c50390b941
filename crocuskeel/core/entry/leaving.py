"""Servers that leave, by the store or by what they say in their answers.

The load that this answers: a server that leaves while the store is away,
or whose entry reaches hosts late. It says so in its answers, each of which
reaches one host, so hosts tell each other. Leaving is final for an
incarnation of a server: a host that sends it nothing could not hear of a
change.
"""

from crocuskeel.core.entry import effects

__all__ = ["forget", "heard", "is_leaving", "rows", "said"]

# A server that is no longer listed is remembered for this long, s: its
# entry may have lapsed and come back.
KEPT_S = 60.0


def said(host, attempt, now):
    """Note that an answer to an attempt says that its server leaves."""
    return _learn(host, attempt.sid, attempt.incarnation, now)


def heard(host, told, now):
    """Take rows of another host: (server id, incarnation)."""
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
    """Say whether a server leaves and must get nothing new."""
    if server.draining:
        return True
    return bool(host.leaving) and server.incarnation in host.leaving


def rows(host):
    """Return rows for other hosts, of servers that the store shows ready.

    Of the others the store has told all hosts.
    """
    return tuple((sid, incarnation)
                 for incarnation, (sid, _) in host.leaving.items()
                 if _is_listed_as_ready(host, sid, incarnation))


def _is_listed_as_ready(host, sid, incarnation):
    state = host.servers.get(sid)
    return (state is not None and not state.server.draining
            and state.server.incarnation == incarnation)


def forget(host, now):
    """Forget servers that have long not been listed."""
    for incarnation, (sid, at) in list(host.leaving.items()):
        if sid not in host.servers and at < now - KEPT_S:
            del host.leaving[incarnation]
