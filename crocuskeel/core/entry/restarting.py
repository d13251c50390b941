"""Backend servers that restart under the same id.

The new process holds no prompt and runs no earlier request, so nothing that
was recorded about the former process applies to it. The requests of the
former process are lost, though the connections may not show it: after a
power loss a server resets them only when it is sent more data.
"""

import dataclasses

from crocuskeel.core.entry import attempts
from crocuskeel.core.entry import crash_records
from crocuskeel.core.entry import crashes
from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.entry import model
from crocuskeel.core.entry import state as states
from crocuskeel.core.scheduling import services

__all__ = ["end_orphaned_attempts", "is_restart", "reset_server",
           "restarted_servers", "with_latest_start"]

# A server writes its entry when it starts and with each heartbeat, some 1.2 s
# apart, and the list lags by up to a second more. So an attempt that was sent
# or active within this time before the entry came, s, may belong to the new
# process.
ENTRY_DELAY_S = 2.5


def is_restart(former, server):
    """Return whether an entry is of a later process than the former one."""
    return model.started_before(former, server)


def with_latest_start(former, server):
    """Return an entry with the start time of the latest known process.

    A report of a former process may be written late, and is followed by one
    of the latest. That one has not restarted.
    """
    if not model.started_before(server, former):
        return server
    return dataclasses.replace(server, started_ms=former.started_ms)


def restarted_servers(host, changed):
    """Return those of the changed servers that restarted."""
    return [server for server in changed
            if server.sid in host.servers
            and is_restart(host.servers[server.sid].server, server)]


def reset_server(host, server, now):
    """Discard what was recorded about the former process of a server."""
    out = crashes.note_down(
        host, server.sid, crash_records.Sign.RESTARTED, now)
    services.forget_server(host, server)
    former = host.servers[server.sid]
    state = states.new_server(server, now)
    # Requests in progress count until they end.
    state.own_attempts = former.own_attempts
    state.streams_by_gap = former.streams_by_gap
    state.memory_tokens = former.memory_tokens
    state.busy_since = now if former.own_attempts else 0.0
    host.servers[server.sid] = state
    out.append(effects.LogEvent("server_restarted", {
        "server": server.sid, "born": server.started_ms,
        "mine": len(former.own_attempts)}))
    return out


def end_orphaned_attempts(host, servers, now):
    """End the attempts that the former processes of servers ran."""
    out = []
    for server in servers:
        for pending, attempt in _orphaned_attempts(host, server, now):
            out.append(effects.Cancel(pending.key, attempt.attempt_number))
            out += attempts.broken(host, events.AttemptFailed(
                pending.key, attempt.attempt_number,
                model.Outcome.DISCONNECTED, "server restarted",
                disconnected=True), now)
    return out


def _orphaned_attempts(host, server, now):
    state = host.servers[server.sid]
    orphaned = []
    for key, attempt_number in state.own_attempts:
        pending = host.pending[key]
        attempt = pending.attempts[attempt_number]
        active_at = attempt.sent_at
        if attempt.opened:
            active_at = max(active_at, pending.last_event_at)
        if (attempt.incarnation != server.incarnation
                and active_at <= now - ENTRY_DELAY_S):
            orphaned.append((pending, attempt))
    return orphaned
