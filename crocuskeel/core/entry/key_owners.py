"""Whose request it is, whatever the configuration in force says of its key.

Callers choose the ids of their requests within their workspace. A stream that
they take up has to be found also if its route has become public meanwhile, or
is no longer, or its key was dropped. So the workspace of a key is remembered.
"""

import itertools

__all__ = ["note", "owner_of"]

# Keys that are remembered; the ones that were configured longest ago yield.
MAX_KEYS = 1 << 16


def note(host, catalog):
    """Remember the keys of a configuration that is put in force."""
    for key, workspace in (catalog.api_keys or {}).items():
        host.key_owners.pop(key, None)
        host.key_owners[key] = workspace.name
    surplus = len(host.key_owners) - MAX_KEYS
    for key in list(itertools.islice(host.key_owners, max(0, surplus))):
        del host.key_owners[key]


def owner_of(host, request):
    """Return the name of a caller's workspace; empty if it has none."""
    return host.key_owners.get(request.api_key, "")
