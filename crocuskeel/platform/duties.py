"""Duties that one host holds at a time, in the platform's words.

The lease is an object of the system's own kind in the store. Reports of
usage and orders of engines are calls to another address.
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

__all__ = ["new_duties"]

LEASES = "crocuskeel-leases"
LEASE_NAME = "duties"
# A read or write of the lease that takes longer is given up, s: the next
# renewal is due by then. The store answers in 4 ms, slow in some hundred.
LEASE_CALL_S = 1.0
# A duty's call that takes longer is made again, s.
CALL_S = 1.0
OK = 200
CONFLICT = 409
# Sent with each call: who holds the duty, and the number of its lease.
HOLDER = b"X-Crocuskeel-Duty-Holder"
FENCE = b"X-Crocuskeel-Fence-Token"
Status = lease_events.Status


class Duties:
    """Carries out effects of the duties; ``address`` is (ip, port)."""

    def __init__(self, reactor, gateway, store, boot):
        self.reactor = reactor
        self.gateway = gateway
        self.store = store
        self.address = boot.cloud
        self.host_name = boot.host

    def __call__(self, effect):
        """Begin to carry out an effect; its answer is fed as an event."""
        perform = PERFORM[type(effect)]
        defer.Deferred.fromCoroutine(
            perform(self, effect)).addErrback(self._died)

    def _died(self, failure):
        self.gateway.log("duty_died", {
            "why": failure.getErrorMessage(),
            "where": failure.getBriefTraceback()})

    async def read_lease(self, effect):
        """Read the lease's object."""
        try:
            found = await self.store.read(LEASES, LEASE_NAME)
        except exceptions.StoreError as exc:
            self.gateway.log("lease_not_read", {"why": str(exc)})
            event = lease_events.LeaseRead(Status.UNAVAILABLE)
        else:
            event = _lease(found)
        self.gateway.feed(event)

    async def write_lease(self, effect):
        """Write the lease's object once, on its condition."""
        status, version = Status.WRITTEN, 0
        try:
            version = await self.store.write(
                LEASES, LEASE_NAME, json.loads(effect.body),
                effect.version, LEASE_CALL_S)
        except exceptions.StoreError as exc:
            # Only an answer says that nothing was done.
            status = Status.UNAVAILABLE if exc.status else Status.UNKNOWN
            self.gateway.log("lease_not_written", {
                "why": str(exc), "status": status.value})
        if version is None:
            status, version = Status.CONFLICT, 0
        self.gateway.feed(lease_events.LeaseWritten(
            effect.nonce, effect.number, status, version))

    async def send(self, effect):
        """Make a call of a duty, unless its lease has ended."""
        outcome, detail = await self._call(effect)
        self.gateway.feed(
            events.DutyAnswered(effect.call, outcome, detail))

    async def _call(self, effect):
        path, body = ENCODERS[type(effect.call)](effect.call)
        headers = [(HOLDER, self.host_name.encode()),
                   (FENCE, b"%d" % effect.fence)]
        left_s = effect.until - self.reactor.seconds()
        if left_s <= 0 or self.address is None:
            return model.Outcome.FAILED, "not sent"
        try:
            reply = await calls.call(
                self.reactor, self.address, b"POST", path,
                min(CALL_S, left_s), json.dumps(body).encode(), headers,
                effect.until)
        except gateway_exceptions.CallFailed as exc:
            return model.Outcome.FAILED, str(exc)
        if reply.status == CONFLICT and isinstance(
                effect.call, duties.Order):
            return model.Outcome.UNAVAILABLE, "409"
        if reply.status != OK:
            return model.Outcome.FAILED, str(reply.status)
        return model.Outcome.DONE, ""


def _lease(found):
    if found is None:
        return lease_events.LeaseRead(Status.NOT_FOUND)
    return lease_events.LeaseRead(
        Status.FOUND, found["Meta"]["Rev"],
        json.dumps(found.get("Spec")).encode())


def _report(call):
    return b"/usage", {"Window": call.window, "Counts": dict(call.counts)}


def _order(call):
    body = {"Service": call.service, "Zone": call.domain,
            "Desired": call.count}
    if call.spot:
        body["Spot"] = True
    return b"/scale", body


ENCODERS = {duties.Report: _report, duties.Order: _order}

PERFORM = {
    lease_effects.ReadLease: Duties.read_lease,
    lease_effects.WriteLease: Duties.write_lease,
    effects.SendDuty: Duties.send,
}


def new_duties(reactor, gateway, store, boot):
    """Return what carries out duties, by the settings of a process."""
    return Duties(reactor, gateway, store, boot)
