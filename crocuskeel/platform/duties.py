"""Carries out leader-only duties through the platform's interfaces.

The lease is an object of a kind of our own in the store. Usage reports and
engine orders are HTTP calls to a separate address.
"""

import json

from crocuskeel.core import duties
from crocuskeel.core.duties import model
from crocuskeel.core.entry import effects
from crocuskeel.core.entry import events
from crocuskeel.core.leadership import effects as lease_effects
from crocuskeel.core.leadership import events as lease_events
from crocuskeel.gateway import calls
from crocuskeel.gateway import exceptions as gateway_exceptions
from crocuskeel.platform import exceptions
from twisted.internet import defer

__all__ = ["new_duty_executor"]

LEASE_KIND = "crocuskeel-leases"
LEASE_NAME = "duties"
# Timeout of a read or write of the lease, s: the next renewal is due by then.
# The store answers in 4 ms, and in some hundred milliseconds when it is slow.
LEASE_TIMEOUT_S = 1.0
# Timeout of a call of a duty, s; the call is repeated after it.
CALL_TIMEOUT_S = 1.0
OK = 200
CONFLICT = 409
# Headers of each call: the host that holds the duty, and the fencing token of
# its lease.
HOLDER_HEADER = b"X-Crocuskeel-Duty-Holder"
FENCE_HEADER = b"X-Crocuskeel-Fence-Token"
Status = lease_events.Status


class DutyExecutor:
    """Executes effects of duties; ``address`` is (ip, port)."""

    def __init__(self, reactor, gateway, store, boot):
        self.reactor = reactor
        self.gateway = gateway
        self.store = store
        self.address = boot.cloud
        self.host_name = boot.host

    def __call__(self, effect):
        """Start an effect; its result is fed to the gateway as an event."""
        perform = EFFECT_HANDLERS[type(effect)]
        defer.Deferred.fromCoroutine(
            perform(self, effect)).addErrback(self._crashed, effect)

    def _crashed(self, failure, effect):
        """Report an unexpected error as a failed call.

        The core makes no other call while it waits for this one.
        """
        self.gateway.log("duty_died", {
            "why": failure.getErrorMessage(),
            "where": failure.getBriefTraceback()})
        self.gateway.feed(_failed_event(effect))

    async def read_lease(self, effect):
        """Read the lease from the store."""
        try:
            version, found = await self.store.read(LEASE_KIND, LEASE_NAME)
        except exceptions.StoreError as exc:
            self.gateway.log("lease_not_read", {"why": str(exc)})
            event = lease_events.LeaseRead(Status.UNAVAILABLE)
        else:
            event = _lease_event(version, found)
        self.gateway.feed(event)

    async def write_lease(self, effect):
        """Write the lease once, if its version is still the expected one."""
        status, version = Status.WRITTEN, 0
        try:
            version = await self.store.write(
                LEASE_KIND, LEASE_NAME, json.loads(effect.body),
                effect.version, LEASE_TIMEOUT_S)
        except exceptions.StoreError as exc:
            # Without an answer the write may have taken effect.
            status = Status.UNAVAILABLE if exc.status else Status.UNKNOWN
            self.gateway.log("lease_not_written", {
                "why": str(exc), "status": status.value})
        if version is None:
            status, version = Status.CONFLICT, 0
        self.gateway.feed(lease_events.LeaseWritten(
            effect.nonce, effect.number, status, version))

    async def send(self, effect):
        """Make a call of a duty, unless its lease has expired."""
        outcome, detail = await self._call(effect)
        self.gateway.feed(
            events.DutyAnswered(effect.call, outcome, detail))

    async def _call(self, effect):
        path, body = ENCODERS[type(effect.call)](effect.call)
        headers = [(HOLDER_HEADER, self.host_name.encode()),
                   (FENCE_HEADER, b"%d" % effect.fence)]
        remaining_s = effect.until - self.reactor.seconds()
        if remaining_s <= 0 or self.address is None:
            return model.Outcome.FAILED, "not sent"
        try:
            reply = await calls.call(
                self.reactor, self.address, b"POST", path,
                min(CALL_TIMEOUT_S, remaining_s), json.dumps(body).encode(),
                headers, effect.until)
        except gateway_exceptions.CallFailed as exc:
            return model.Outcome.FAILED, str(exc)
        if reply.status == CONFLICT and isinstance(
                effect.call, duties.Order):
            return model.Outcome.UNAVAILABLE, "409"
        if reply.status != OK:
            return model.Outcome.FAILED, str(reply.status)
        return model.Outcome.DONE, ""


def _failed_event(effect):
    """Return the event for a call whose result is unknown."""
    match effect:
        case lease_effects.ReadLease():
            return lease_events.LeaseRead(Status.UNAVAILABLE)
        case lease_effects.WriteLease():
            return lease_events.LeaseWritten(
                effect.nonce, effect.number, Status.UNKNOWN, 0)
    return events.DutyAnswered(
        effect.call, model.Outcome.FAILED, "unexpected error")


def _lease_event(version, found):
    if found is None:
        return lease_events.LeaseRead(Status.NOT_FOUND, version)
    return lease_events.LeaseRead(
        Status.FOUND, version, json.dumps(found.get("Spec")).encode())


def _encode_report(call):
    return b"/usage", {"Window": call.window, "Counts": dict(call.counts)}


def _encode_order(call):
    body = {"Service": call.service, "Zone": call.domain,
            "Desired": call.count}
    if call.spot:
        body["Spot"] = True
    return b"/scale", body


ENCODERS = {duties.Report: _encode_report, duties.Order: _encode_order}

EFFECT_HANDLERS = {
    lease_effects.ReadLease: DutyExecutor.read_lease,
    lease_effects.WriteLease: DutyExecutor.write_lease,
    effects.SendDuty: DutyExecutor.send,
}


def new_duty_executor(reactor, gateway, store, boot):
    """Return a DutyExecutor for the settings of a process."""
    return DutyExecutor(reactor, gateway, store, boot)
