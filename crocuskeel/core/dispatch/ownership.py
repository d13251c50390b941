"""Taking a cell over and handing it on.

Ownership follows live membership and is a matter of efficiency: views
may differ for seconds. A host that loses a cell in its view keeps what
waits for a short time, grants nothing more, and then tells the doors.
"""

from crocuskeel.core.dispatch import granting
from crocuskeel.core.dispatch import queue
from crocuskeel.core.dispatch import state
from crocuskeel.core import effects
from crocuskeel.core import membership
from crocuskeel.core import messages
from crocuskeel.core import placement

__all__ = ["SETTLE_S", "ask_doors", "is_owner", "reclaim_dead", "refresh",
           "serve"]

SETTLE_S = 0.5
HANDOVER_S = 1.0
QUIET_S = 20.0
ASK_AGAIN_S = 5.0


def is_owner(daemon, cell_name):
    """Tell whether this host dispatches the cell in its own view.

    A host that has not read the host list knows of no cell yet; it must
    not refuse for want of engines what another host can serve.
    """
    live = membership.live(daemon)
    return (cell_name in daemon.backends.cells
            and placement.owner(cell_name, live) == daemon.me.host)


def serve(daemon, cell_name, now):
    """Return the cell and effects of opening it; None: not ours.

    A cell just lost is still served, so that two hosts whose views of
    the members differ don't send a door back and forth.
    """
    cell = daemon.dispatch.cells.get(cell_name)
    if cell is not None and cell.lost_at is None:
        return cell, []
    if is_owner(daemon, cell_name):
        return open_cell(daemon, cell_name, now)
    return cell, []


def open_cell(daemon, cell_name, now):
    """Become the cell's dispatcher: ask all doors what they hold."""
    cells = daemon.dispatch.cells
    cell = cells.get(cell_name)
    if cell is not None and cell.lost_at is None:
        return cell, []
    hosts = membership.live(daemon)
    if cell is None:
        service = cell_name.rpartition("/")[0]
        cell = state.new_cell(cell_name, service, now + SETTLE_S, hosts)
        cells[cell_name] = cell
    cell.lost_at = None
    cell.settle_until = now + SETTLE_S
    cell.unheard = set(hosts)
    record = effects.Record("cell_taken", "", (("cell", cell_name),))
    return cell, [record, *ask_doors(cell, hosts)]


def ask_doors(cell, hosts):
    """Ask doors for all they hold in the cell."""
    ask = messages.ReregisterAsk(cell.name)
    return [effects.Send(host, ask) for host in hosts]


def refresh(daemon, now):
    """Follow membership and the grouping of engines; return effects."""
    live = membership.live(daemon)
    view = (live, tuple(daemon.backends.cells))
    out = _hand_over(daemon, now)
    if view == daemon.dispatch.view:
        return out
    before = daemon.dispatch.view[0] if daemon.dispatch.view else ()
    daemon.dispatch.view = view
    out += _ask_returned(daemon, live, before)
    for cell_name in view[1]:
        if is_owner(daemon, cell_name):
            out += open_cell(daemon, cell_name, now)[1]
    for cell in daemon.dispatch.cells.values():
        if not is_owner(daemon, cell.name) and cell.lost_at is None:
            cell.lost_at = now
    return out


def _ask_returned(daemon, live, before):
    # What a door held was dropped when it was thought dead. If it had
    # only paused, and its links held, nothing else would make it
    # register again, and its callers would wait for their deadlines.
    back = [host for host in live if host not in before]
    return [effect for cell in daemon.dispatch.cells.values()
            if cell.lost_at is None for effect in ask_doors(cell, back)]


def _hand_over(daemon, now):
    out = []
    for cell in list(daemon.dispatch.cells.values()):
        lost_at = cell.lost_at
        if lost_at is not None and now - lost_at >= HANDOVER_S:
            out += _give_up(cell)
            del daemon.dispatch.cells[cell.name]
    return out


def _give_up(cell):
    out = [effects.Record("cell_given", "", (("cell", cell.name),))]
    for waiting in (*cell.waiting.values(), *cell.suspects.values()):
        news = messages.NotDispatcher(cell.name, waiting.ask.rid)
        out.append(effects.Send(waiting.door, news))
    return out


def reclaim_dead(daemon, cell, now):
    """Free all that dead doors held; ask those long quiet.

    A leaving host still streams: only a dead one's slots are free. A
    slot without news may be one whose release was lost with a
    connection; without this it would be lost for good.
    """
    doors = {slot.door for slot in cell.running.values()}
    doors |= {waiting.door for waiting in cell.waiting.values()}
    out = []
    for door in sorted(doors):
        if _is_dead(daemon, door):
            out += _drop_door(cell, door)
    cell.unheard -= {door for door in cell.unheard
                     if _is_dead(daemon, door)}
    return out + _ask_quiet(cell, now)


def _is_dead(daemon, host):
    if host == daemon.me.host:
        return False
    info = membership.info(daemon, host)
    return info is None or info.status == "dead"


def _drop_door(cell, door):
    held = [key for key, slot in cell.running.items() if slot.door == door]
    for key in held:
        granting.drop_slot(cell, key)
    waits = [key for key in (*cell.waiting, *cell.suspects)
             if queue.entry(cell, key).door == door]
    for key in waits:
        queue.remove(cell, key)
    return [effects.Record("door_dead", "", (
        ("cell", cell.name), ("host", door), ("slots", len(held)),
        ("waiting", len(waits))))]


def _ask_quiet(cell, now):
    quiet = {slot.door for slot in cell.running.values()
             if now - slot.heard_at > QUIET_S}
    due = [door for door in sorted(quiet)
           if now - cell.asked_at.get(door, -ASK_AGAIN_S) >= ASK_AGAIN_S]
    for door in due:
        cell.asked_at[door] = now
    return ask_doors(cell, due)
