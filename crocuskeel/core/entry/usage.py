"""Counts the requests that engines began and sends them to the holder."""

from crocuskeel.core.duties import clock
from crocuskeel.core.duties import counting
from crocuskeel.core.duties import model
from crocuskeel.core.entry import effects
from crocuskeel.core.entry import fleet

__all__ = ["count_begun", "received", "send_counts"]

# Counts are sent again for this long after they changed, s: three times,
# as a datagram may be lost.
RESEND_S = 1.0


def count_begun(host, pending, at):
    """Count a request that an engine began at ``at``, once."""
    duties = host.duties
    if duties is None or pending.usage_counted or not pending.workspace:
        return
    wall = clock.wall_time(duties.offsets, at)
    if wall is None:
        return
    pending.usage_counted = True
    window = int(wall // host.cfg.report_window_s)
    counting.count_request(duties.table, window, pending.workspace)
    duties.counted_at[window] = at
    if len(duties.counted_at) > counting.WINDOWS_KEPT:
        _forget(duties, min(duties.counted_at))


def _forget(duties, window):
    duties.table.pop(window, None)
    del duties.counted_at[window]


def send_counts(host, now):
    """Send the recently changed counts of this host to the holder."""
    duties = host.duties
    duties.tables[host.self_peer.name, host.self_peer.boot] = duties.table
    peer = _recipient(host, now)
    if peer is None:
        return []
    # A host that acquires the lease again has lost the earlier counts.
    leader = duties.leader.host, duties.leader.fence
    if duties.reported_to != leader:
        duties.reported_to = leader
        duties.reported_to_since = now
    send_all = now <= duties.reported_to_since + RESEND_S
    rows = tuple(
        (window, tuple(counts.items()))
        for window, counts in duties.table.items()
        if send_all or duties.counted_at[window] > now - RESEND_S)
    if not rows:
        return []
    return [effects.SendToPeer(peer, model.Usage(
        host.self_peer.name, host.self_peer.boot, rows))]


def _recipient(host, now):
    """Return the holder, or the next serving host.

    That is on the holder itself, as the counts that it took since its last
    renewal, up to a second ago, would be lost if it is killed: 4 % of a
    window of 5 s where six hosts serve callers. And while the lease is free,
    as this host may be gone by the time it is not.
    """
    leader = host.duties.leader.host
    if leader and leader != host.self_peer.name:
        holder = host.peers.get(leader)
        return holder.peer if holder is not None else None
    others = [peer for peer in fleet.serving_hosts(host, now)
              if peer.name != host.self_peer.name]
    return others[0] if others else None


def received(host, event, now):
    """Merge the counts received from another host."""
    duties = host.duties
    if duties is None or not event.rows:
        return []
    table = duties.tables.setdefault((event.name, event.boot), {})
    counting.merge(table, event.rows)
    # Deciding windows removes old ones, but only the holder does that.
    counting.prune(duties.tables, max(table) - counting.WINDOWS_KEPT)
    return []
