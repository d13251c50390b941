"""Asks servers for their health."""

from crocuskeel.core.entry import events
from crocuskeel.core.entry import probe_events
from crocuskeel.gateway import calls
from crocuskeel.gateway import exceptions

__all__ = ["probe"]

# A server that reports its health later than this counts as unreachable, s.
TIMEOUT_S = 0.8
# Only the status of its answer is used.
MAX_BYTES = 1 << 16
# A time that ends later than this, s, shows that this process stood still,
# not that the server is silent. It is asked again then, at most so many times.
LATE_S = 0.05
MAX_LATE = 2


def probe(gateway, effect, late_count=0):
    """Carry out a ProbeServer effect."""
    reactor = gateway.reactor
    service = effect.server.service
    due_at = reactor.seconds() + effect.answer_s

    def wait_is_over():
        if reactor.seconds() > due_at + LATE_S and late_count < MAX_LATE:
            probe(gateway, effect, late_count + 1)
        else:
            gateway.feed(probe_events.ProbeUnanswered(
                service, effect.sent_at))

    def answered(_):
        if timer.active():
            timer.cancel()
        gateway.feed(events.ServerProbed(service))

    timer = reactor.callLater(effect.answer_s, wait_is_over)
    done = calls.call(
        reactor, effect.server.address, b"GET",
        effect.path.encode("latin-1"), TIMEOUT_S, max_bytes=MAX_BYTES,
        turns=gateway.turns)
    done.addCallbacks(answered,
                      lambda failure: failure.trap(exceptions.CallFailed))
