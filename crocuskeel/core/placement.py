"""Rendezvous hashing: which host owns a cell, a slot or a fingerprint.

Every host computes the same owner from the same live members, and when a
member leaves only its own keys move. Ownership only affects efficiency:
two hosts with different views of the members may both act as owner.
"""

import functools

import xxhash

__all__ = ["owner", "ranked"]

_CACHE_SIZE = 65536


@functools.lru_cache(maxsize=_CACHE_SIZE)
def _score(key, host):
    return xxhash.xxh3_64_intdigest(f"{key}\0{host}".encode())


def owner(key, hosts):
    """Return the host that owns ``key``, "" if there are no hosts."""
    return max(hosts, key=lambda host: (_score(key, host), host),
               default="")


def ranked(key, hosts):
    """Return ``hosts`` by descending score for ``key``, the owner first."""
    return sorted(hosts, key=lambda host: (_score(key, host), host),
                  reverse=True)
