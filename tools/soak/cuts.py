"""Hosts that are cut off from all servers, at the links of these.

Hosts connect from one loopback address, so the host of a connection is found
by the process that has the socket.
"""

import enum
import os

__all__ = ["FORMS", "Cuts", "Form"]

SOCKETS_FILE = "/proc/net/tcp"
LOCAL_FIELD = 1
INODE_FIELD = 9


class Form(enum.StrEnum):
    """What a cut does to the connections of a host."""

    # New ones are reset; open ones live on.
    NEW = "new"
    # All are reset.
    RESET = "reset"
    # All stay open and carry nothing.
    SILENT = "silent"


FORMS = tuple(Form)


class Cuts:
    """``forms`` maps the hosts that are cut off to the form."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.forms = {}

    def form_of(self, side):
        """Return the form in which the host of a connection is cut off."""
        if not self.forms:
            return None
        return self.forms.get(self._hosts().get(_client_port(side)))

    def cut(self, ip, form, links):
        """Cut a host off from the servers behind the links."""
        self.forms[ip] = form
        if form == Form.NEW:
            return
        hosts = self._hosts()
        for side in [side for link in links for side in link.sides
                     if side.from_client]:
            if hosts.get(_client_port(side)) != ip:
                continue
            if form == Form.RESET:
                side.transport.abortConnection()
            else:
                side.silence()

    def reconnect(self, ip):
        """End the cut of a host."""
        self.forms.pop(ip, None)

    def _hosts(self):
        """Return the addresses of hosts by the port of their sockets."""
        with open(SOCKETS_FILE) as file:
            rows = [line.split() for line in file.readlines()[1:]]
        inodes = {row[INODE_FIELD]: int(row[LOCAL_FIELD].split(":")[1], 16)
                  for row in rows}
        return {inodes[inode]: self.fleet.ips[number]
                for number, process in self.fleet.processes.items()
                for inode in _socket_inodes(process.pid) if inode in inodes}


def _client_port(side):
    return side.transport.getPeer().port


def _socket_inodes(pid):
    folder = f"/proc/{pid}/fd"
    try:
        names = os.listdir(folder)
    except OSError:
        # The process has ended.
        return
    for name in names:
        try:
            target = os.readlink(f"{folder}/{name}")
        except OSError:
            continue
        if target.startswith("socket:["):
            yield target[len("socket:["):-1]
