"""Backend servers that start again under the id that they had.

The new process holds no prompt and runs nothing of before, so nothing
that was learned of the former one may decide about it. What that one ran
is over, though its connections may not show it: a server that lost power
resets them only when it is sent something more.
"""

from crocuskeel.core.entry import attempts
from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.entry import model
from crocuskeel.core.entry import quarantine
from crocuskeel.core.entry import state as states

__all__ = ["begin_anew", "end_former_runs", "is_restart", "started_again"]

# A server writes its entry as it starts and with each heartbeat, some 1.2 s
# apart, and the list lags by up to a second more: what was sent, or gave
# a sign, later than this before the entry came may be the new process's,
# s.
SEEN_S = 2.5


def is_restart(was, server):
    """Say whether an entry is of another process than the one before."""
    return (server.born is not None and was.born is not None
            and server.born != was.born)


def started_again(host, changed):
    """Return those of the changed servers that started again."""
    return [server for server in changed
            if server.sid in host.servers
            and is_restart(host.servers[server.sid].server, server)]


def begin_anew(host, server, now):
    """Forget what was known of the former process."""
    quarantine.note_gone(host, server.sid, now)
    former = host.servers[server.sid]
    state = states.new_server(server, now)
    # Requests in progress are counted until they end.
    state.mine = former.mine
    state.gaps = former.gaps
    state.memory = former.memory
    state.asked_at = now if former.mine else 0.0
    host.servers[server.sid] = state
    return [effects.Note("server_restarted", {
        "server": server.sid, "born": server.born,
        "mine": len(former.mine)})]


def end_former_runs(host, servers, now):
    """End what the former processes of servers ran."""
    out = []
    for server in servers:
        for pending, attempt in _former_runs(host, server, now):
            out.append(effects.Cancel(pending.key, attempt.turn))
            out += attempts.broken(host, events.Broken(
                pending.key, attempt.turn, model.Outcome.BROKEN,
                "server started again"), now)
    return out


def _former_runs(host, server, now):
    state = host.servers[server.sid]
    found = []
    for key, turn in state.mine:
        pending = host.pending[key]
        attempt = pending.tries[turn]
        signs = attempt.at
        if attempt.opened:
            signs = max(signs, pending.progress_at)
        if attempt.incarnation != server.incarnation and signs <= now - SEEN_S:
            found.append((pending, attempt))
    return found
