"""State of the object API and of the host list, without HTTP."""
import collections
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Object:
    """One stored value and the version that wrote it."""

    body: bytes
    version: int


@dataclasses.dataclass(slots=True)
class Store:
    """Objects by path; ``version`` grows by one a write to any."""

    objects: dict
    version: int = 0


@dataclasses.dataclass(slots=True)
class HostList:
    """Hosts by name; ``pending`` are snapshots still to be shown.

    ``lag`` is in seconds.
    """

    lag: float
    hosts: dict
    shown: list
    pending: collections.deque
    at: int = 1


def new_store():
    """Return an empty store."""
    return Store({})


def put(store, path, body):
    """Write an object and return its version."""
    store.version += 1
    store.objects[path] = Object(body, store.version)
    return store.version


def delete(store, path):
    """Remove an object and return the version of the removal."""
    store.version += 1
    del store.objects[path]
    return store.version


def version_of(store, path):
    """Return the version of an object, 0 if there is none."""
    obj = store.objects.get(path)
    return obj.version if obj else 0


def new_host_list(hosts, lag):
    """Return a list that shows its first hosts at once."""
    by_name = {host["name"]: host for host in hosts}
    return HostList(
        lag, by_name, list(by_name.values()), collections.deque())


def set_hosts(host_list, hosts, removed, now):
    """Set and remove entries; they show after the lag."""
    for host in hosts:
        host_list.hosts[host["name"]] = host
    for name in removed:
        host_list.hosts.pop(name, None)
    snapshot = list(host_list.hosts.values())
    host_list.pending.append((now + host_list.lag, snapshot))


def visible_hosts(host_list, now):
    """Return the hosts that the list shows now."""
    while host_list.pending and host_list.pending[0][0] <= now:
        _, host_list.shown = host_list.pending.popleft()
        host_list.at += 1
    return host_list.shown
