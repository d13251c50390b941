"""Ownership of cells: taking over as dispatcher and stepping back.

Ownership follows the live members and only affects efficiency: the
members' views may differ for seconds. A host that loses a cell in its
own view keeps the cell's queue for a short time, grants nothing more,
and then notifies the entry hosts.
"""

from crocuskeel.core.dispatch import granting
from crocuskeel.core.dispatch import queue
from crocuskeel.core.dispatch import state
from crocuskeel.core import effects
from crocuskeel.core import membership
from crocuskeel.core import messages
from crocuskeel.core import placement

__all__ = ["SETTLE_S", "acquire_cell", "is_owner", "reclaim_dead",
           "refresh", "request_state"]

SETTLE_S = 0.5
RELEASE_DELAY_S = 1.0
SLOT_SILENCE_S = 20.0
STATE_REQUEST_INTERVAL_S = 5.0


def is_owner(daemon, cell_name):
    """Tell whether this host dispatches the cell in its own view.

    A host that has not read the host list knows no cell yet. It must not
    refuse work for lack of engines that another host can serve.
    """
    live = membership.live(daemon)
    return (cell_name in daemon.backends.cells
            and placement.owner(cell_name, live) == daemon.identity.host)


def acquire_cell(daemon, cell_name, now):
    """Return the cell and the effects of taking it over.

    The cell is None if another host owns it. A cell that was lost a
    moment ago is still returned, so that two hosts with different views
    of the members don't redirect an entry host back and forth.
    """
    cell = daemon.dispatch.cells.get(cell_name)
    if cell is not None and cell.ownership_lost_at is None:
        return cell, []
    if is_owner(daemon, cell_name):
        return take_over_cell(daemon, cell_name, now)
    return cell, []


def take_over_cell(daemon, cell_name, now):
    """Become the cell's dispatcher and request all entry hosts' state."""
    cells = daemon.dispatch.cells
    cell = cells.get(cell_name)
    if cell is not None and cell.ownership_lost_at is None:
        return cell, []
    hosts = membership.live(daemon)
    if cell is None:
        service = cell_name.rpartition("/")[0]
        cell = state.new_cell(cell_name, service, now + SETTLE_S, hosts)
        cells[cell_name] = cell
    cell.ownership_lost_at = None
    cell.settle_until = now + SETTLE_S
    cell.unreported_hosts = set(hosts)
    record = effects.Record("cell_taken", "", (("cell", cell_name),))
    return cell, [record, *request_state(cell, hosts)]


def request_state(cell, hosts):
    """Ask entry hosts for all their attempts in the cell."""
    message = messages.ReregisterAsk(cell.name)
    return [effects.Send(host, message) for host in hosts]


def refresh(daemon, now):
    """Follow changes of the members and the cells; return effects."""
    live = membership.live(daemon)
    topology = (live, tuple(daemon.backends.cells))
    out = _release_lost_cells(daemon, now)
    if topology == daemon.dispatch.topology:
        return out
    before = daemon.dispatch.topology[0] if daemon.dispatch.topology else ()
    daemon.dispatch.topology = topology
    out += _request_returned(daemon, live, before)
    for cell_name in topology[1]:
        if is_owner(daemon, cell_name):
            out += take_over_cell(daemon, cell_name, now)[1]
    for cell in daemon.dispatch.cells.values():
        if not is_owner(daemon, cell.name) and cell.ownership_lost_at is None:
            cell.ownership_lost_at = now
    return out


def _request_returned(daemon, live, before):
    # The state of a host was dropped when the host was taken for dead. If
    # it had only paused and its connections survived, nothing else would
    # make it register again, and its callers would wait until their
    # deadlines.
    returned = [host for host in live if host not in before]
    return [effect for cell in daemon.dispatch.cells.values()
            if cell.ownership_lost_at is None
            for effect in request_state(cell, returned)]


def _release_lost_cells(daemon, now):
    out = []
    for cell in list(daemon.dispatch.cells.values()):
        lost_at = cell.ownership_lost_at
        if lost_at is not None and now - lost_at >= RELEASE_DELAY_S:
            out += _release_cell(cell)
            del daemon.dispatch.cells[cell.name]
    return out


def _release_cell(cell):
    out = [effects.Record("cell_given", "", (("cell", cell.name),))]
    for waiting in (*cell.waiting.values(), *cell.suspects.values()):
        message = messages.NotDispatcher(cell.name, waiting.request.rid)
        out.append(effects.Send(waiting.entry_host, message))
    return out


def reclaim_dead(daemon, cell, now):
    """Drop the attempts of dead hosts; query hosts about silent slots.

    A leaving host still streams, so only the slots of a dead one are
    free. The release of a slot without recent updates may have been lost
    with a connection; unless its host is asked, the slot would never be
    freed.
    """
    hosts = {slot.entry_host for slot in cell.running.values()}
    hosts |= {waiting.entry_host for waiting in cell.waiting.values()}
    out = []
    for host in sorted(hosts):
        if _is_dead(daemon, host):
            out += _drop_host(cell, host)
    cell.unreported_hosts -= {host for host in cell.unreported_hosts
                              if _is_dead(daemon, host)}
    return out + _query_silent_slots(cell, now)


def _is_dead(daemon, host):
    if host == daemon.identity.host:
        return False
    info = membership.member_info(daemon, host)
    return info is None or info.status == "dead"


def _drop_host(cell, host):
    running = [key for key, slot in cell.running.items()
               if slot.entry_host == host]
    for key in running:
        granting.drop_slot(cell, key)
    waiting = [key for key in (*cell.waiting, *cell.suspects)
               if queue.entry(cell, key).entry_host == host]
    for key in waiting:
        queue.remove(cell, key)
    return [effects.Record("door_dead", "", (
        ("cell", cell.name), ("host", host), ("slots", len(running)),
        ("waiting", len(waiting))))]


def _query_silent_slots(cell, now):
    silent = {slot.entry_host for slot in cell.running.values()
              if now - slot.updated_at > SLOT_SILENCE_S}
    due = [host for host in sorted(silent)
           if now - cell.state_requested_at.get(
               host, -STATE_REQUEST_INTERVAL_S)
           >= STATE_REQUEST_INTERVAL_S]
    for host in due:
        cell.state_requested_at[host] = now
    return request_state(cell, due)
