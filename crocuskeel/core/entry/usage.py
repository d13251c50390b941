"""Counts of what engines began: kept here, told to who reports them."""

from crocuskeel.core.duties import counting
from crocuskeel.core.duties import model
from crocuskeel.core.duties import truetime
from crocuskeel.core.entry import effects
from crocuskeel.core.entry import fleet

__all__ = ["began", "take", "tell"]

# Counts are told again for this long after they changed, s: three times,
# as a datagram may be lost.
RETOLD_S = 1.0


def began(host, pending, at):
    """Count a request that an engine began at ``at``, once."""
    duties = host.duties
    if duties is None or pending.counted or not pending.workspace:
        return
    wall = truetime.now(duties.offsets, at)
    if wall is None:
        return
    pending.counted = True
    window = int(wall // host.cfg.report_s)
    counting.began(duties.table, window, pending.workspace)
    duties.counted_at[window] = at
    if len(duties.counted_at) > counting.WINDOWS_KEPT:
        _forget(duties, min(duties.counted_at))


def _forget(duties, window):
    duties.table.pop(window, None)
    del duties.counted_at[window]


def tell(host, now):
    """Tell the holder what this host counted since it was told."""
    duties = host.duties
    duties.tables[host.me.name, host.me.boot] = duties.table
    peer = _listener(host, now)
    if peer is None:
        return []
    # The same host knows nothing of before when it holds the lease anew.
    leader = duties.leader.host, duties.leader.fence
    if duties.told_leader != leader:
        duties.told_leader = leader
        duties.told_leader_at = now
    whole = now <= duties.told_leader_at + RETOLD_S
    rows = tuple(
        (window, tuple(counts.items()))
        for window, counts in duties.table.items()
        if whole or duties.counted_at[window] > now - RETOLD_S)
    if not rows:
        return []
    return [effects.Tell(peer, model.Usage(
        host.me.name, host.me.boot, rows))]


def _listener(host, now):
    """Return the host to tell: the holder, or of the holder the next.

    What a killed holder itself counted since its last renewal, a second
    ago, would be 4 % of a window of 5 s where six hosts carry callers.
    """
    leader = host.duties.leader.host
    if leader != host.me.name:
        known = host.peers.get(leader)
        return known.peer if known is not None else None
    others = [peer for peer in fleet.carriers(host, now)
              if peer.name != leader]
    return others[0] if others else None


def take(host, event, now):
    """Take another host's counts."""
    duties = host.duties
    if duties is None or not event.rows:
        return []
    table = duties.tables.setdefault((event.name, event.boot), {})
    counting.merge(table, event.rows)
    # Whoever is not the holder decides no window, and would keep all.
    counting.prune(duties.tables, max(table) - counting.WINDOWS_KEPT)
    return []
