"""Snapshots: what hosts fetch from each other of the store's content.

Hosts of the former version know the store's revisions as numbers only, without
its era; they get them like that, and the number of the configuration's
revision decides whether that is newer.
"""

import zlib

from crocuskeel.core.entry import changelog
from crocuskeel.core.entry import registry
from crocuskeel.core import revisions
from crocuskeel import decoding
from crocuskeel.platform import objects

__all__ = ["MAX_BYTES", "decode", "make", "revisions_of"]

# Largest snapshot that is read, bytes: some 15,000 servers.
MAX_BYTES = 4 << 20


def decode(body):
    """Return the snapshot in another host's answer.

    Raises ValueError if it is none: another program may answer at the
    address of a host. Its entries are checked where they are used.
    """
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(body, MAX_BYTES)
    except zlib.error as exc:
        raise ValueError(f"invalid snapshot: {exc}") from exc
    if decompressor.unconsumed_tail or not decompressor.eof:
        raise ValueError("snapshot is incomplete or too large")
    found = decoding.loads(data, decoding.MAX_VALUES)
    if not isinstance(found, dict):
        raise ValueError("snapshot is no object")
    for field, is_valid in FIELDS.items():
        if not is_valid(found.get(field)):
            raise ValueError(f"snapshot has an invalid {field}")
    if "since" in found and not isinstance(found.get("removed"), list):
        raise ValueError("snapshot has no removed")
    return found


def _is_revision(value):
    return (isinstance(value, int) and not isinstance(value, bool)
            and 0 <= value < 1 << 63)


def _is_names(value):
    return value is None or (isinstance(value, list)
                             and all(map(objects.is_name, value)))


def _is_lapsing(value):
    return value is None or (isinstance(value, list) and all(
        isinstance(row, list) and len(row) == 2 and objects.is_name(row[0])
        and isinstance(row[1], int | float)
        and 0 <= row[1] <= registry.GRACE_S for row in value))


# Fields with their checks; former versions of this program lack some.
FIELDS = {
    "config": lambda value: value is None or isinstance(value, dict),
    # It has no era, which is a field of its own.
    "revision": lambda value: (_is_revision(value)
                               and value == revisions.number(value)),
    "era": lambda value: value is None or (
        _is_revision(value) and value <= revisions.MAX_ERA),
    "since": lambda value: value is None or _is_revision(value),
    "servers": lambda value: isinstance(value, list),
    "removed": _is_names,
    "lapsing": _is_lapsing,
}


def make(watcher, config_version, servers_revision=0, is_former=False):
    """Return what is newer than a host's versions as JSON data, or None.

    Of the servers it holds the changes after ``servers_revision``, which
    "since" repeats, or the whole list if the log doesn't reach back.
    ``is_former``: the host is of the former version.
    """
    if watcher.raw_config is None:
        return None
    revision = watcher.revision
    found = {"config": _newer_config(watcher.raw_config, config_version,
                                     is_former),
             "lapsing": registry.grace_periods(
                 watcher.gateway.host, watcher.reactor.seconds()),
             "revision": revisions.number(revision)}
    if not is_former:
        found["era"] = revisions.era(revision)
    changes = _changes_since(watcher, servers_revision, is_former)
    if changes is None:
        return {**found, "servers": list(watcher.raw_servers.values())}
    return {**found, "since": servers_revision,
            "servers": [watcher.raw_servers[sid] for sid in changes.changed],
            "removed": changes.removed}


def _newer_config(config, version, is_former):
    """Return the configuration, or None if the host has it already."""
    own = config["Meta"]["Rev"] if is_former else config["Spec"]["Version"]
    return config if own > version else None


def _changes_since(watcher, revision, is_former):
    log = watcher.changes
    if not is_former:
        return changelog.changes_since(log, revision)
    if log.restored:
        # The number may be of the former era.
        return None
    return changelog.changes_since(
        log, revisions.in_era_of(watcher.revision, revision))


def revisions_of(snapshot, own):
    """Return the revision of a snapshot's servers, and its "since" or None.

    ``own`` is the revision of this host's servers.
    """
    revision, since = snapshot["revision"], snapshot.get("since")
    if "era" in snapshot:
        return revisions.combine(snapshot["era"], revision), since
    return (revisions.in_era_of(own, revision),
            since and revisions.in_era_of(own, since))
