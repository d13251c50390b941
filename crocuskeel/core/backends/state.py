"""The known backend servers and which of them are leaving.

The host list can be delayed, stale or unavailable, and its replicas may
disagree. Its position orders its versions: of two sources the later
position wins, and at the same position "leaving" wins. The last list is
kept through an outage. Hosts that dispatch for a cell read the list every
second, others rarely, and a host broadcasts what it sees, so that the
platform's read rate stays bounded as the fleet grows.
"""

import dataclasses

from crocuskeel.core.backends import grouping
from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core import membership
from crocuskeel.core import messages
from crocuskeel.core import placement

__all__ = ["BackendsState", "get", "handle", "is_usable", "new_state",
           "service_backends"]

OWNER_READ_INTERVAL_S = 1.0
OTHER_READ_INTERVAL_S = 15.0
_READ_TIMER = ("backends", "read")


@dataclasses.dataclass(slots=True)
class BackendsState:
    """``position`` is the host list's position of ``by_name``, -1 for none.

    ``leaving`` maps a server's name to the position at which it was listed
    as leaving. ``cells`` maps a cell's name to its engines' names;
    ``cell_size`` is the size they were built for.
    """

    position: int = -1
    by_name: dict[str, messages.Backend] = dataclasses.field(
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
    return daemon.backends.by_name.get(name)


def service_backends(daemon, service):
    """Return the service's backend servers, including leaving ones."""
    return daemon.backends.by_service.get(service, ())


def is_usable(daemon, name):
    """Tell whether a backend server may get new work."""
    state = daemon.backends
    return name in state.by_name and name not in state.leaving


def handle(daemon, event, now):
    """Handle one event; return effects."""
    state = daemon.backends
    match event:
        case events.Started():
            return [effects.WantHostList(),
                    effects.SetTimer(_READ_TIMER, OWNER_READ_INTERVAL_S)]
        case events.TimerFired(key=key) if key == _READ_TIMER:
            return [effects.WantHostList(),
                    effects.SetTimer(_READ_TIMER, _read_delay_s(daemon))]
        case events.HostListSeen(position=position, backends=backends):
            return _apply_list(state, position, backends, daemon)
        case events.HostListFailed():
            return _ask_peer(daemon)
        case events.Received(message=messages.HostListAsk() as request):
            return _answer(state, event.sender, request)
        case events.Received(message=messages.HostListNews() as news):
            return _apply_news(daemon, news)
    return []


def _read_delay_s(daemon):
    # A host that dispatches must know of a leaving server within 3 s.
    # Others need the list only to continue without a dispatcher.
    live = membership.live(daemon)
    owned = any(placement.owner(cell, live) == daemon.identity.host
                for cell in daemon.backends.cells)
    span = OWNER_READ_INTERVAL_S if owned else OTHER_READ_INTERVAL_S
    return span * daemon.rng.uniform(0.9, 1.1)


def _ask_peer(daemon):
    # A host that starts during a platform outage knows no backend server
    # and would refuse every request. A peer's last list avoids this.
    if daemon.backends.by_name:
        return []
    peers = [host for host in membership.live(daemon)
             if host != daemon.identity.host]
    if not peers:
        return []
    peer = daemon.rng.choice(peers)
    return [effects.Send(
        peer, messages.HostListAsk(daemon.backends.position))]


def _answer(state, sender, request):
    if state.position <= request.have:
        return []
    news = messages.HostListNews(
        state.position, tuple(state.leaving),
        tuple(state.by_name.values()))
    return [effects.Send(sender, news)]


def _apply_news(daemon, news):
    state = daemon.backends
    out = []
    if news.backends and news.at > state.position:
        out += _apply_list(state, news.at, news.backends, daemon)
    if news.at >= state.position:
        _mark_leaving(state, news.at, news.leaving)
    return out


def _mark_leaving(state, position, names):
    newly_leaving = [name for name in names if name not in state.leaving]
    for name in names:
        state.leaving[name] = max(position, state.leaving.get(name, -1))
    return newly_leaving


def _apply_list(state, position, backends, daemon):
    if position < state.position:
        # A lagging replica of the list may still show a leaving server as
        # live, and the server would get new work again.
        return []
    size = grouping.cell_size(daemon)
    unchanged = backends == tuple(state.by_name.values())
    if (position == state.position and unchanged
            and size == state.cell_size):
        # Grouping 1,700 engines every second would cost more than all
        # other control work.
        return []
    state.position = position
    _unmark_leaving(state, position, backends)
    newly_leaving = _mark_leaving(
        state, position, [b.name for b in backends if b.leaving])
    _index(state, backends, size)
    out = [effects.Record("backend_leaving", "", (("backend", name),))
           for name in newly_leaving]
    if newly_leaving:
        news = messages.HostListNews(position, tuple(newly_leaving))
        out.append(effects.Broadcast(news))
    return out


def _unmark_leaving(state, position, backends):
    # Only a later position that lists the server as live undoes
    # "leaving"; the same position from another replica does not.
    listed = {b.name: b for b in backends}
    for name, leaving_position in list(state.leaving.items()):
        entry = listed.get(name)
        if entry is None or (not entry.leaving
                             and position > leaving_position):
            del state.leaving[name]


def _index(state, backends, size):
    state.cell_size = size
    state.by_name = {b.name: b for b in backends}
    by_service = {}
    for backend in sorted(state.by_name.values(), key=lambda b: b.name):
        by_service.setdefault(backend.service, []).append(backend)
    state.by_service = {name: tuple(group)
                        for name, group in by_service.items()}
    state.cells = grouping.build(state.by_service, size)
