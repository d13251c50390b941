"""Carries out the core's calls to the platform."""

from crocuskeel.core import effects
from crocuskeel.core import events
from crocuskeel.core import messages
from crocuskeel import objectapi
from crocuskeel.runtime import loop

__all__ = ["handlers"]

Status = events.StoreStatus
_FAILED = {
    objectapi.NotFound: Status.NOT_FOUND,
    objectapi.Conflict: Status.CONFLICT,
    objectapi.Unavailable: Status.UNAVAILABLE,
    objectapi.Rejected: Status.UNAVAILABLE,
    objectapi.WriteUnknown: Status.UNKNOWN,
}
_KINDS = {"engine": "engine", "service": "plain"}


def handlers():
    """Return the handlers of platform calls."""
    return {
        effects.StoreGet: _get,
        effects.StoreWatch: _watch,
        effects.StorePut: _put,
        effects.WantHostList: _hosts,
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


def _call(ctx, effect, start):
    if ctx.platform is None:
        ctx.reactor.callLater(0, loop.feed, ctx, events.StoreAnswered(
            effect.op, Status.UNAVAILABLE))
        return
    fut = start(ctx.platform)
    fut.addCallback(
        lambda result: loop.feed(ctx, _answered(effect.op, result)))


def _answered(op, result):
    match result:
        case objectapi.Found(version=version, body=body):
            return events.StoreAnswered(op, Status.FOUND, version, body)
        case objectapi.Written(version=version):
            return events.StoreAnswered(op, Status.WRITTEN, version)
        case objectapi.Unchanged(version=version):
            return events.StoreAnswered(op, Status.UNCHANGED, version)
    return events.StoreAnswered(op, _FAILED[type(result)])


def _hosts(ctx, effect):
    if ctx.platform is None:
        ctx.reactor.callLater(
            0, loop.feed, ctx, events.HostListFailed())
        return
    ctx.platform.hosts().addCallback(
        lambda result: loop.feed(ctx, _listed(result)))


def _listed(result):
    if not isinstance(result, objectapi.HostList):
        return events.HostListFailed()
    entries = tuple(_entry(each) for each in result.hosts
                    if each.role == "entry")
    backends = tuple(_backend(each) for each in result.hosts
                     if each.role in _KINDS)
    return events.HostListSeen(result.at, entries, backends)


def _entry(host):
    # An entry host's listed port is its peers' one; the door's port and
    # the incarnation come with the first answer to a probe.
    status = "leaving" if host.state == "leaving" else "alive"
    return messages.MemberUpdate(
        host=host.name, incarnation=0, status=status,
        address=host.address, peer_port=host.port, domain=host.domain,
        region=host.region)


def _backend(host):
    return messages.Backend(
        name=host.name, service=host.service,
        url=f"http://{host.address}:{host.port}", domain=host.domain,
        region=host.region, kind=_KINDS[host.role],
        leaving=host.state == "leaving")
