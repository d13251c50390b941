"""Object store and host list of the stand-in platform, without HTTP."""
import collections
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Object:
    """One stored value and the version at which it was written."""

    body: bytes
    version: int


@dataclasses.dataclass(slots=True)
class Store:
    """Objects by path; each write or deletion increments ``version``."""

    objects: dict
    version: int = 0


@dataclasses.dataclass(slots=True)
class HostList:
    """Hosts by name, which readers see after ``lag`` seconds.

    ``visible`` is the snapshot that readers see; ``pending`` are later
    ones with the time at which each becomes visible.
    """

    lag: float
    hosts: dict
    visible: list
    pending: collections.deque
    revision: int = 1


def new_store():
    """Return an empty store."""
    return Store({})


def put(store, path, body):
    """Write an object; return its version."""
    store.version += 1
    store.objects[path] = Object(body, store.version)
    return store.version


def delete(store, path):
    """Delete an object; return the version of the deletion."""
    store.version += 1
    del store.objects[path]
    return store.version


def version_of(store, path):
    """Return the version of an object, 0 if it does not exist."""
    obj = store.objects.get(path)
    return obj.version if obj else 0


def new_host_list(hosts, lag):
    """Return a host list; its initial hosts are visible at once."""
    hosts_by_name = {host["name"]: host for host in hosts}
    return HostList(
        lag, hosts_by_name, list(hosts_by_name.values()), collections.deque())


def set_hosts(host_list, hosts, removed, now):
    """Add, replace and remove hosts; readers see it after the lag."""
    for host in hosts:
        host_list.hosts[host["name"]] = host
    for name in removed:
        host_list.hosts.pop(name, None)
    snapshot = list(host_list.hosts.values())
    host_list.pending.append((now + host_list.lag, snapshot))


def visible_hosts(host_list, now):
    """Return the hosts that readers see now."""
    while host_list.pending and host_list.pending[0][0] <= now:
        _, host_list.visible = host_list.pending.popleft()
        host_list.revision += 1
    return host_list.visible
