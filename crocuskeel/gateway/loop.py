"""Feeds events to the core and carries out its effects."""

import time
import traceback

from crocuskeel.core import entry
from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.entry import fleet
from crocuskeel.core.entry import record_effects
from crocuskeel.core.leadership import effects as lease_effects
from crocuskeel.gateway import exchanges
from crocuskeel.gateway import memory
from crocuskeel.gateway import probes
from crocuskeel.gateway import servers
from crocuskeel.gateway import turns

__all__ = ["Gateway", "new_gateway"]

# Interval at which hosts send their state, s: a host that dies is removed from
# callers' lists after four of them.
TICK_INTERVAL_S = fleet.STATE_INTERVAL_S
# A timer that fires later than this, s, shows that this process was paused or
# busy: what has arrived meanwhile is read first.
LATE_TIMER_S = 0.05


class Gateway:
    """An entry host. ``log(event, fields)`` writes a log line.

    ``wall_clock()`` returns the time of day, s. ``fetch_snapshot(peer)``
    reads a peer's configuration. ``duty_executor(effect)`` carries out
    effects of duties, and ``record_executor(effect)`` those of records of
    streams. ``listener`` has the connections of callers,
    ``accept_waiting`` accepts those that wait, ``on_stop_accepting`` stops
    listening for more, ``on_exit`` ends the process, and ``flush_log`` writes
    the log's lines.
    """

    def __init__(self, reactor, host, codec, log, wall_clock):
        self.reactor = reactor
        self.wall_clock = wall_clock
        self.host = host
        self.codec = codec
        self.log = log
        self.exchanges = {}
        self.memory = memory.new_host_memory(self)
        self.turns = turns.Turns(reactor)
        self.gossip = None
        self.fetch_snapshot = None
        self.duty_executor = None
        self.record_executor = None
        self.on_stop_accepting = None
        self.on_exit = None
        self.accept_waiting = None
        self.listener = None
        self.tick_due = None
        # When the latest tick was due, and when it came.
        self.last_lateness = None, 0.0
        self.flush_log = None

    def start(self, me):
        """Start the core and the periodic tick."""
        self.feed(events.Started(me))
        self.tick()

    def tick(self):
        """Feed a tick to the core and schedule the next one."""
        now = self.reactor.seconds()
        due, self.tick_due = self.tick_due, now + TICK_INTERVAL_S
        late_s = 0.0 if due is None else now - due
        self.last_lateness = due, now
        self.reactor.callLater(TICK_INTERVAL_S, self.tick)
        self.memory.paused_readers.check()
        self.memory.measure()
        self.feed(events.Ticked(self.wall_clock(), late_s, self._reading()))

    def _reading(self):
        """Return the number of callers' requests that are being read.

        Only a stopping host needs it.
        """
        if self.host.stop_at is None or self.listener is None:
            return 0
        if not self.listener.closing and self.accept_waiting is not None:
            self.accept_waiting()
        return self.listener.reading() + self.listener.unread()

    def stop(self, asked_at):
        """Feed that the process was asked to stop, by a signal.

        One that came while the process stood still is seen afterwards; the
        grace period may have begun with the pause.
        """
        due, ticked_at = self.last_lateness
        if self.tick_due is not None and asked_at > self.tick_due:
            asked_at = self.tick_due
        elif due is not None and due < asked_at <= ticked_at:
            asked_at = due
        self.feed(events.StopAsked(asked_at))

    def stop_due(self):
        """Feed that a step of the shutdown is due."""
        # What callers haven't read yet may have changed since the tick.
        self.memory.measure()
        self.feed(events.StopDue(self._reading()))

    def feed(self, event):
        """Feed an event to the core and carry out its effects in order.

        An effect that can't be carried out doesn't prevent the others: an
        exit of the process may be among them. What comes after that is of
        the connections that it closes.
        """
        if self.host.exited:
            return
        now = self.reactor.seconds()
        for effect in entry.reduce(self.host, event, now):
            try:
                EFFECT_HANDLERS[type(effect)](self, effect)
            except Exception:
                self.log("effect_failed", {
                    "effect": type(effect).__name__,
                    "where": traceback.format_exc(limit=-4)})
        if self.host.stop_at is not None and self.flush_log is not None:
            # A kill at the end of the grace period would lose lines.
            self.flush_log()

    def limits(self):
        """Return the limits on requests of callers."""
        catalog = self.host.catalog
        return catalog.limits if catalog else DEFAULT_LIMITS

    def request_received(self, exchange):
        """Handle a complete request of a caller."""
        try:
            exchange.request = self.codec.read_request(
                exchange.head, exchange.body)
        except ValueError as exc:
            self.log("bad_request", {"why": str(exc)})
            _answer(exchange, 400, str(exc), None)
            self.release(exchange)
            return
        self.exchanges[exchange.key] = exchange
        self.feed(events.RequestReceived(exchange.key, exchange.request))

    def caller_disconnected(self, exchange):
        """Handle a caller that disconnected before its answer ended."""
        if exchange.cut_why and exchange.request is not None:
            self.log("caller_cut", {"rid": exchange.request.rid,
                                    "why": exchange.cut_why})
        self.feed(events.CallerDisconnected(exchange.key))
        self.release(exchange)

    def request_rejected(self, status, why):
        """Log a request that could not be parsed."""
        self.log("unreadable", {"status": status, "why": why})

    def release(self, exchange):
        """Free the timer, the attempts and the body of an exchange.

        Its parts refer to each other, so that they would otherwise stay in
        memory until the interpreter looks for cycles.
        """
        self.exchanges.pop(exchange.key, None)
        if exchange.timer is not None and exchange.timer.active():
            exchange.timer.cancel()
        attempts, exchange.attempts = exchange.attempts, {}
        for attempt in attempts.values():
            attempt.release()
        exchange.body = b""
        if exchange.announced:
            exchange.announced = False
            self.memory.release_body(exchange.key)

    def addresses(self):
        """Return the addresses that callers may connect to."""
        return fleet.caller_addresses(self.host, self.reactor.seconds())

    def is_ready(self):
        """Return whether this host accepts callers."""
        return fleet.is_ready(self.host)


DEFAULT_LIMITS = entry.model.Limits(16384, 4 << 20, 3.0, 15.0)


def _send_request(gateway, effect):
    exchange = gateway.exchanges.get(effect.key)
    if exchange is not None:
        exchange.attempts[effect.attempt_number] = servers.start_attempt(
            gateway, exchange, effect)


def _cancel(gateway, effect):
    exchange = gateway.exchanges.get(effect.key)
    if exchange is not None:
        exchange.attempts[effect.attempt_number].cancel()


def _read_body(gateway, effect):
    gateway.memory.read_body(effect.key)


def _refuse_body(gateway, effect):
    gateway.memory.refuse_body(effect)


def _forward_response(gateway, effect):
    exchange = gateway.exchanges.get(effect.key)
    if exchange is None:
        return
    exchange.attempts[effect.attempt_number].forward()
    if exchange.finished:
        gateway.release(exchange)


def _answer_effect(gateway, effect):
    exchange = gateway.exchanges.get(effect.key)
    if exchange is None:
        return
    _answer(exchange, effect.status, effect.reason, effect.retry_delay_s)
    gateway.release(exchange)


def _answer(exchange, status, reason, retry_delay_s):
    exchange.answer(
        status, *exchanges.error_answer(reason, retry_delay_s))


def _abort_stream(gateway, effect):
    exchange = gateway.exchanges.get(effect.key)
    if exchange is not None:
        exchange.abort()
        gateway.release(exchange)


def _set_request_timer(gateway, effect):
    exchange = gateway.exchanges.get(effect.key)
    if exchange is None:
        return
    if exchange.timer is not None and exchange.timer.active():
        exchange.timer.cancel()
    delay = max(0.0, effect.at - gateway.reactor.seconds())
    exchange.timer = gateway.reactor.callLater(
        delay, _timer_due, gateway, exchange, effect)


def _timer_due(gateway, exchange, effect):
    """Feed that a request's timer fired, in the next turn if it is late."""
    fired = events.TimerFired(effect.key)
    if gateway.reactor.seconds() <= effect.at + LATE_TIMER_S:
        gateway.feed(fired)
        return
    exchange.timer = gateway.reactor.callLater(0, gateway.feed, fired)


def _send_datagram(gateway, effect):
    if gateway.gossip is not None:
        gateway.gossip.send(effect)


def _schedule_loads(gateway, effect):
    delay = max(0.0, effect.at - gateway.reactor.seconds())
    gateway.reactor.callLater(delay, gateway.feed, events.LoadsDue())


def _fetch_snapshot(gateway, effect):
    gateway.fetch_snapshot(effect.peer)


def _end_keep_alive(gateway, effect):
    if gateway.listener is not None:
        gateway.listener.end_keep_alive()


def _schedule_stop_due(gateway, effect):
    delay = max(0.0, effect.at - gateway.reactor.seconds())
    gateway.reactor.callLater(delay, gateway.stop_due)


def _stop_accepting(gateway, effect):
    gateway.on_stop_accepting()
    if gateway.listener is not None:
        # What has come on connections that were just accepted is read first.
        gateway.reactor.callLater(0, _close_idle, gateway)


def _close_idle(gateway):
    gateway.log("listener_closed", gateway.listener.close_idle())


def _exit(gateway, effect):
    gateway.on_exit()


def _execute_duty(gateway, effect):
    gateway.duty_executor(effect)


def _execute_record(gateway, effect):
    if gateway.record_executor is not None:
        gateway.record_executor(effect)


def _log_event(gateway, effect):
    gateway.log(effect.event, effect.fields)


EFFECT_HANDLERS = {
    effects.SendRequest: _send_request,
    effects.Cancel: _cancel,
    effects.ReadBody: _read_body,
    effects.RefuseBody: _refuse_body,
    effects.ForwardResponse: _forward_response,
    effects.Answer: _answer_effect,
    effects.AbortStream: _abort_stream,
    effects.SetRequestTimer: _set_request_timer,
    effects.SendToPeer: _send_datagram,
    effects.ScheduleLoadsDue: _schedule_loads,
    effects.FetchCatalog: _fetch_snapshot,
    effects.ProbeServer: probes.probe,
    effects.EndKeepAlive: _end_keep_alive,
    effects.ScheduleStopDue: _schedule_stop_due,
    effects.CloseListener: _stop_accepting,
    effects.Exit: _exit,
    effects.LogEvent: _log_event,
    effects.SendDuty: _execute_duty,
    lease_effects.ReadLease: _execute_duty,
    lease_effects.WriteLease: _execute_duty,
    record_effects.ReadVersions: _execute_record,
    record_effects.WriteVersions: _execute_record,
    record_effects.ReadSegments: _execute_record,
    record_effects.WriteSegment: _execute_record,
    record_effects.DeleteSegments: _execute_record,
    record_effects.ScheduleSegment: _execute_record,
    record_effects.ReadCrashes: _execute_record,
    record_effects.WriteCrashes: _execute_record,
}


def new_gateway(reactor, host, codec, log, wall_clock=time.time):
    """Return a gateway that doesn't listen yet."""
    return Gateway(reactor, host, codec, log, wall_clock)
