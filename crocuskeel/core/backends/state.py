"""Which backend servers there are and which of them are leaving.

The host list lags, goes stale and fails, and its replicas may disagree.
Its position orders what it says: of two sources the later position
wins, and at the same position "leaving" wins. The last list is kept
through an outage. Hosts that dispatch for a cell read the list every
second, others slowly, and what one host sees is told to all, so that
the platform's read rate stays bounded as the fleet grows.
"""

import dataclasses

from crocuskeel.core.backends import grouping
from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core import membership
from crocuskeel.core import messages
from crocuskeel.core import placement

__all__ = ["BackendsState", "get", "handle", "new_state", "of_service",
           "usable"]

READ_OWNER_S = 1.0
READ_OTHER_S = 15.0
_READ = ("backends", "read")


@dataclasses.dataclass(slots=True)
class BackendsState:
    """``at`` is the host list's position of ``known``, -1 for none.

    ``leaving`` maps a server's name to the position that said so.
    ``cells`` maps a cell's name to its engines' names; ``cell_size`` is
    the size they were built for.
    """

    at: int = -1
    known: dict[str, messages.Backend] = dataclasses.field(
        default_factory=dict)
    by_service: dict[str, tuple[messages.Backend, ...]] = (
        dataclasses.field(default_factory=dict))
    leaving: dict[str, int] = dataclasses.field(default_factory=dict)
    cells: dict[str, tuple[str, ...]] = dataclasses.field(
        default_factory=dict)
    cell_size: int = 0


def new_state():
    """Return the state of a daemon that has read no host list yet."""
    return BackendsState()


def get(daemon, name):
    """Return the :class:`messages.Backend` of that name or None."""
    return daemon.backends.known.get(name)


def of_service(daemon, service):
    """Return the service's backend servers, leaving ones too."""
    return daemon.backends.by_service.get(service, ())


def usable(daemon, name):
    """Tell whether a backend server may get new work."""
    state = daemon.backends
    return name in state.known and name not in state.leaving


def handle(daemon, event, now):
    """Reduce one event; return effects."""
    state = daemon.backends
    match event:
        case events.Started():
            return [effects.WantHostList(),
                    effects.SetTimer(_READ, READ_OWNER_S)]
        case events.TimerFired(key=key) if key == _READ:
            return [effects.WantHostList(),
                    effects.SetTimer(_READ, _read_after(daemon))]
        case events.HostListSeen(at=at, backends=backends):
            return _list_seen(state, at, backends, daemon)
        case events.HostListFailed():
            return _ask_peer(daemon)
        case events.Received(message=messages.HostListAsk() as ask):
            return _answer(state, event.sender, ask)
        case events.Received(message=messages.HostListNews() as news):
            return _news(daemon, news)
    return []


def _read_after(daemon):
    # A host that dispatches must know of a leaving server within 3 s;
    # others need the list only to go on alone without a dispatcher.
    live = membership.live(daemon)
    owned = any(placement.owner(cell, live) == daemon.me.host
                for cell in daemon.backends.cells)
    span = READ_OWNER_S if owned else READ_OTHER_S
    return span * daemon.rng.uniform(0.9, 1.1)


def _ask_peer(daemon):
    # A host that starts during a platform outage knows no backend
    # server and would refuse everything; a peer's last list serves.
    if daemon.backends.known:
        return []
    peers = [host for host in membership.live(daemon)
             if host != daemon.me.host]
    if not peers:
        return []
    peer = daemon.rng.choice(peers)
    return [effects.Send(peer, messages.HostListAsk(daemon.backends.at))]


def _answer(state, sender, ask):
    if state.at <= ask.have:
        return []
    news = messages.HostListNews(
        state.at, tuple(state.leaving), tuple(state.known.values()))
    return [effects.Send(sender, news)]


def _news(daemon, news):
    state = daemon.backends
    out = []
    if news.backends and news.at > state.at:
        out += _list_seen(state, news.at, news.backends, daemon)
    if news.at >= state.at:
        _mark(state, news.at, news.leaving)
    return out


def _mark(state, at, names):
    fresh = [name for name in names if name not in state.leaving]
    for name in names:
        state.leaving[name] = max(at, state.leaving.get(name, -1))
    return fresh


def _list_seen(state, at, backends, daemon):
    if at < state.at:
        # A lagging replica of the list: it may still call a leaving
        # server live, which would send it new work again.
        return []
    size = grouping.size_of(daemon)
    same = backends == tuple(state.known.values())
    if at == state.at and same and size == state.cell_size:
        # Grouping 1,700 engines each second would cost more than all
        # other control work.
        return []
    state.at = at
    _forget_returned(state, at, backends)
    fresh = _mark(state, at, [b.name for b in backends if b.leaving])
    _index(state, backends, size)
    out = [effects.Record("backend_leaving", "", (("backend", name),))
           for name in fresh]
    if fresh:
        news = messages.HostListNews(at, tuple(fresh))
        out.append(effects.Broadcast(news))
    return out


def _forget_returned(state, at, backends):
    # Only a later position that lists the server as live undoes
    # "leaving"; the same position from another replica does not.
    listed = {b.name: b for b in backends}
    for name, marked_at in list(state.leaving.items()):
        entry = listed.get(name)
        if entry is None or (not entry.leaving and at > marked_at):
            del state.leaving[name]


def _index(state, backends, size):
    state.cell_size = size
    state.known = {b.name: b for b in backends}
    groups = {}
    for backend in sorted(state.known.values(), key=lambda b: b.name):
        groups.setdefault(backend.service, []).append(backend)
    state.by_service = {name: tuple(group)
                        for name, group in groups.items()}
    state.cells = grouping.build(state.by_service, size)
