"""Executes the core's calls to the platform."""

from loguru import logger

from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core import messages
from crocuskeel import objectapi
from crocuskeel.runtime import loop

__all__ = ["handlers"]

Status = events.StoreStatus
_ERROR_STATUSES = {
    objectapi.NotFound: Status.NOT_FOUND,
    objectapi.Conflict: Status.CONFLICT,
    objectapi.Unavailable: Status.UNAVAILABLE,
    objectapi.Rejected: Status.UNAVAILABLE,
    objectapi.WriteUnknown: Status.UNKNOWN,
}
_BACKEND_KINDS = {"engine": "engine", "service": "plain"}


def handlers():
    """Return the handlers of the platform effects."""
    return {
        effects.StoreGet: _get,
        effects.StoreWatch: _watch,
        effects.StorePut: _put,
        effects.WantHostList: _list_hosts,
    }


def _get(ctx, effect):
    _call(ctx, effect, lambda client: client.get(effect.path))


def _watch(ctx, effect):
    _call(ctx, effect, lambda client: client.watch(
        effect.path, effect.version, effect.timeout_s))


def _put(ctx, effect):
    if effect.version == 0:
        _call(ctx, effect,
              lambda client: client.create(effect.path, effect.body))
    else:
        _call(ctx, effect, lambda client: client.put(
            effect.path, effect.body, effect.version))


def _call(ctx, effect, send):
    if ctx.platform is None:
        ctx.reactor.callLater(0, loop.feed, ctx, events.StoreAnswered(
            effect.op, Status.UNAVAILABLE))
        return
    deferred = send(ctx.platform)
    _deliver(ctx, deferred,
             lambda result: _store_event(effect.op, result),
             events.StoreAnswered(effect.op, Status.UNAVAILABLE))


def _deliver(ctx, deferred, new_event, failed_event):
    """Feed the event of a call's result, or after an error another.

    The core makes no other call while it waits for this one.
    """
    deferred.addCallback(new_event)
    deferred.addErrback(_log_failure, failed_event)
    deferred.addCallback(lambda event: loop.feed(ctx, event))


def _log_failure(failure, event):
    logger.error("call to the platform failed: {}",
                 failure.getErrorMessage())
    return event


def _store_event(op, result):
    match result:
        case objectapi.Found(version=version, body=body):
            return events.StoreAnswered(op, Status.FOUND, version, body)
        case objectapi.Written(version=version):
            return events.StoreAnswered(op, Status.WRITTEN, version)
        case objectapi.Unchanged(version=version):
            return events.StoreAnswered(op, Status.UNCHANGED, version)
    return events.StoreAnswered(op, _ERROR_STATUSES[type(result)])


def _list_hosts(ctx, effect):
    if ctx.platform is None:
        ctx.reactor.callLater(
            0, loop.feed, ctx, events.HostListFailed())
        return
    _deliver(ctx, ctx.platform.hosts(), _host_list_event,
             events.HostListFailed())


def _host_list_event(result):
    if not isinstance(result, objectapi.HostList):
        return events.HostListFailed()
    if result.fault_count:
        logger.warning("host list: {} entries can't be used: {}",
                       result.fault_count, "; ".join(result.faults))
    entries = tuple(_member_update(host) for host in result.hosts
                    if host.role == "entry")
    backends = tuple(_backend(host) for host in result.hosts
                     if host.role in _BACKEND_KINDS)
    return events.HostListSeen(result.revision, entries, backends)


def _member_update(host):
    # The host list has an entry host's peer port only; its ``door_port``
    # and incarnation arrive with the first answer to a probe.
    status = "leaving" if host.state == "leaving" else "alive"
    return messages.MemberUpdate(
        host=host.name, incarnation=0, status=status,
        address=host.address, peer_port=host.port, domain=host.domain,
        region=host.region)


def _backend(host):
    return messages.Backend(
        name=host.name, service=host.service,
        url=f"http://{host.address}:{host.port}", domain=host.domain,
        region=host.region, kind=_BACKEND_KINDS[host.role],
        leaving=host.state == "leaving")
