"""Cells: groups of a service's backend servers of bounded size.

Each cell has one dispatcher. The grouping depends only on the names of
the service's servers and the cell size, so that all hosts that read the
same list agree. Adding or removing a server moves few others.
"""

import xxhash

from crocuskeel import conf
from crocuskeel.core import placement

__all__ = ["assign_cell", "build", "cell_engines", "cell_size", "cells"]

DEFAULT_SIZE = 32
_SEPARATOR = "/"


def cell_size(daemon):
    """Return the cell size of the settings, a default without settings."""
    tree = daemon.follower.tree
    return conf.cell_size(tree) if tree is not None else DEFAULT_SIZE


def build(by_service, size):
    """Group servers into cells.

    ``by_service`` maps a service to its servers; returns a dict of cell
    name to a tuple of server names.
    """
    out = {}
    for service, group in by_service.items():
        names = [backend.name for backend in group]
        out.update(_split_service(service, names, size))
    return out


def _split_service(service, names, size):
    count = -(-len(names) // size)
    keys = [f"{service}{_SEPARATOR}{index}" for index in range(count)]
    members = {key: [] for key in keys}
    for name in sorted(names):
        not_full = [k for k in keys if len(members[k]) < size]
        members[placement.owner(name, not_full)].append(name)
    return {key: tuple(group) for key, group in members.items()}


def cells(daemon, service):
    """Return the names of the service's cells, in order."""
    prefix = service + _SEPARATOR
    return tuple(name for name in daemon.backends.cells
                 if name.startswith(prefix))


def cell_engines(daemon, cell):
    """Return the names of the cell's backend servers."""
    return daemon.backends.cells.get(cell, ())


def assign_cell(daemon, service, key):
    """Return the cell that work with this key goes to, "" if none.

    Equal keys (a prompt's prefix, a resent request's fingerprint) go to
    the same cell, so that its dispatcher knows of earlier requests.
    """
    names = cells(daemon, service)
    if not names:
        return ""
    return names[xxhash.xxh3_64_intdigest(key.encode()) % len(names)]
