"""Reloads the settings file, on a signal and when it changes."""

import dataclasses

from crocuskeel.core.entry import events
from crocuskeel.platform import boot as boot_settings
from crocuskeel.platform import exceptions

__all__ = ["Reloader", "new_reloader"]

# How often the file is checked for changes that no signal announced, s.
# Reading 60 lines takes some 0.1 ms.
POLL_INTERVAL_S = 5.0
# Settings that take effect while the process runs. All others wait for the
# next start, as the process already listens on its addresses and other hosts
# know it by them.
RELOADABLE = ("settings", "store", "cloud", "memory_mb")


class Reloader:
    """Holds the active settings and compares them with the file.

    ``read()`` returns the file's text or raises OSError.
    """

    def __init__(self, reactor, read, boot, gateway, store):
        self.reactor = reactor
        self.read = read
        self.boot = boot
        self.gateway = gateway
        self.store = store
        self.rejected = ()

    def start(self):
        """Start to check the file periodically."""
        self.reactor.callLater(POLL_INTERVAL_S, self._poll)

    def _poll(self):
        self.reactor.callLater(POLL_INTERVAL_S, self._poll)
        self.reload(is_requested=False)

    def reload(self, is_requested=True):
        """Apply the file; keep the active settings if it is invalid."""
        try:
            new_settings = boot_settings.parse_boot_settings(self.read())
        except (OSError, UnicodeDecodeError,
                exceptions.BootSettingsError) as exc:
            self._reject(exc, is_requested)
            return
        self.rejected = ()
        changed = [field.name for field in dataclasses.fields(new_settings)
                   if getattr(new_settings, field.name)
                   != getattr(self.boot, field.name)]
        if not changed and not is_requested:
            return
        self._apply(new_settings)
        self.gateway.log("reload", {
            "changed": [name for name in changed if name in RELOADABLE],
            "at_next_start": [name for name in changed
                              if name not in RELOADABLE]})

    def _reject(self, exc, is_requested):
        errors = getattr(exc, "errors", (str(exc),))
        if is_requested or errors != self.rejected:
            self.rejected = errors
            self.gateway.log("reload_refused", {"faults": errors})

    def _apply(self, new_settings):
        self.boot = new_settings
        self.store.address = new_settings.store
        self.gateway.memory.limit = new_settings.memory_mb << 20
        if self.gateway.duty_executor is not None:
            self.gateway.duty_executor.address = new_settings.cloud
        self.gateway.feed(events.SettingsRead(new_settings.settings))


def new_reloader(reactor, path, boot, gateway, store):
    """Return the Reloader of a settings file."""
    def read():
        with open(path, encoding="utf-8") as lines:
            return lines.read()

    return Reloader(reactor, read, boot, gateway, store)
