"""Takes a settings file that changed, with a signal or without one."""

import dataclasses

from crocuskeel.core.entry import events
from crocuskeel.platform import boot as boots
from crocuskeel.platform import exceptions

__all__ = ["Reloader", "new_reloader"]

# The file may change without a signal; it is looked at this often, s.
# Reading 60 lines takes some 0.1 ms.
LOOK_S = 5.0
# What takes effect while the process runs; all else is for its next
# start: it listens, and is known to other hosts, as it began.
LIVE = ("settings", "store", "cloud")


class Reloader:
    """Holds the settings in force and compares them with the file.

    ``read()`` returns the file's text or raises OSError.
    """

    def __init__(self, reactor, read, boot, gateway, store):
        self.reactor = reactor
        self.read = read
        self.boot = boot
        self.gateway = gateway
        self.store = store
        self.refused = ()

    def start(self):
        """Begin to look at the file."""
        self.reactor.callLater(LOOK_S, self._look)

    def _look(self):
        self.reactor.callLater(LOOK_S, self._look)
        self.reload(asked=False)

    def reload(self, asked=True):
        """Take the file; keep what holds if it can't be used."""
        try:
            found = boots.read_boot(self.read())
        except (OSError, exceptions.BadBoot) as exc:
            self._refuse(exc, asked)
            return
        self.refused = ()
        changed = [field.name for field in dataclasses.fields(found)
                   if getattr(found, field.name)
                   != getattr(self.boot, field.name)]
        if not changed and not asked:
            return
        self._take(found)
        self.gateway.log("reload", {
            "changed": [name for name in changed if name in LIVE],
            "at_next_start": [name for name in changed
                              if name not in LIVE]})

    def _refuse(self, exc, asked):
        faults = getattr(exc, "faults", (str(exc),))
        if asked or faults != self.refused:
            self.refused = faults
            self.gateway.log("reload_refused", {"faults": faults})

    def _take(self, found):
        self.boot = found
        self.store.address = found.store
        if self.gateway.duties is not None:
            self.gateway.duties.address = found.cloud
        self.gateway.feed(events.SettingsSeen(found.settings))


def new_reloader(reactor, path, boot, gateway, store):
    """Return the Reloader of a settings file."""
    def read():
        with open(path, encoding="utf-8") as lines:
            return lines.read()

    return Reloader(reactor, read, boot, gateway, store)
