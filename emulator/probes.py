"""Hosts that ask servers for their health."""

from crocuskeel.core.entry import events
from crocuskeel.core.entry import probe_events

__all__ = ["probe"]


def probe(host, effect):
    """Carry out a ProbeServer effect of a host."""
    service = effect.server.service
    server = host.world.servers.get(effect.server.sid)
    after_s = 2 * host.world.network_delay_s
    event = events.ServerProbed(service)
    if server is None or server.down or (
            host.cut is not None and effect.server.sid in host.lost):
        after_s = effect.answer_s
        event = probe_events.ProbeUnanswered(service, effect.sent_at)
    host.world.clock.after(after_s, host.receive_event, host.boot, event)
