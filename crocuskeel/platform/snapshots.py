"""Snapshots: what hosts fetch from each other of the store's content.

Hosts of the former version know the store's revisions as numbers only, without
its era; they get them like that, and the number of the configuration's
revision decides whether that is newer.
"""

from crocuskeel.core.entry import changelog
from crocuskeel.core.entry import registry
from crocuskeel.core import revisions

__all__ = ["make", "revisions_of"]


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
