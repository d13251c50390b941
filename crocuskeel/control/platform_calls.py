"""Calls to the Object API and the host list."""

from loguru import logger

from crocuskeel import conf
from crocuskeel.conf import parts
from crocuskeel.conf import storage
from crocuskeel.core.control import events
from crocuskeel import objectapi

__all__ = ["LEASE_KEY", "check_settings", "read_hosts", "read_lease",
           "write_lease"]

LEASE_KEY = "control/lease"
Status = events.Status
_FAILURE_STATUS = {
    objectapi.NotFound: Status.NOT_FOUND,
    objectapi.Conflict: Status.CONFLICT,
    objectapi.Unavailable: Status.UNAVAILABLE,
    objectapi.Rejected: Status.UNAVAILABLE,
    objectapi.WriteUnknown: Status.UNKNOWN,
}


async def read_lease(ctx, effect):
    """Read the lease object."""
    result = await ctx.platform.get(LEASE_KEY)
    if isinstance(result, objectapi.Found):
        return events.LeaseRead(
            Status.FOUND, result.version, result.body)
    return events.LeaseRead(_FAILURE_STATUS[type(result)])


async def write_lease(ctx, effect):
    """Write the lease object once, conditional on ``effect.version``."""
    if effect.version == 0:
        result = await ctx.platform.create(LEASE_KEY, effect.body)
    else:
        result = await ctx.platform.put(
            LEASE_KEY, effect.body, effect.version)
    if isinstance(result, objectapi.Written):
        return events.LeaseWritten(
            effect.nonce, effect.number, Status.WRITTEN, result.version)
    return events.LeaseWritten(
        effect.nonce, effect.number, _FAILURE_STATUS[type(result)])


async def check_settings(ctx, effect):
    """Read the head, and the common sections if it is newer."""
    result = await ctx.platform.get(storage.HEAD_KEY)
    if isinstance(result, objectapi.NotFound):
        return events.SettingsChecked(True)
    if not isinstance(result, objectapi.Found):
        return events.SettingsChecked(False)
    try:
        head = storage.decode_head(result.body)
        if head.generation <= effect.have:
            return events.SettingsChecked(True, head.generation)
        common = await _read_common(ctx, head)
    except conf.ConfError:
        return events.SettingsChecked(False)
    ok = common is not None
    return events.SettingsChecked(ok, head.generation, common)


async def _read_common(ctx, head):
    """Return the common sections, or None if they can't be read."""
    index = await _read_part(ctx, head.index_digest)
    if index is None:
        return None
    digest = storage.decode_index(index).common
    if digest == ctx.cached_common[0]:
        return ctx.cached_common[1]
    part = await _read_part(ctx, digest)
    if part is None:
        return None
    ctx.cached_common = (digest, parts.decode_part(part))
    return ctx.cached_common[1]


async def _read_part(ctx, digest):
    result = await ctx.platform.get(storage.part_key(digest))
    if not isinstance(result, objectapi.Found):
        return None
    return conf.Part(digest, result.body)


async def read_hosts(ctx, effect):
    """Read the engines of the host list."""
    result = await ctx.platform.hosts()
    if not isinstance(result, objectapi.HostList):
        return events.HostsSeen(None)
    if result.fault_count:
        logger.warning("host list: {} entries can't be used: {}",
                       result.fault_count, "; ".join(result.faults))
    return events.HostsSeen(tuple(
        _engine_entry(each) for each in result.hosts if each.role == "engine"))


def _engine_entry(host):
    return events.EngineEntry(
        name=host.name, service=host.service,
        url=f"http://{host.address}:{host.port}", domain=host.domain,
        leaving=host.state == "leaving")
