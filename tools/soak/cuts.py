"""Hosts that are cut off from all servers, at the links of these."""

import enum

__all__ = ["FORMS", "Cuts", "Form"]


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
    """``forms`` maps the address of a host that is cut off to the form."""

    def __init__(self):
        self.forms = {}

    def form_of(self, side):
        """Return the form in which the host of a connection is cut off."""
        return self.forms.get(_host(side))

    def cut(self, ip, form, links):
        """Cut a host off from the servers behind the links."""
        self.forms[ip] = form
        if form is Form.NEW:
            return
        for side in [side for link in links for side in link.sides
                     if side.from_client and _host(side) == ip]:
            if form is Form.RESET:
                side.transport.abortConnection()
            else:
                side.silence()

    def reconnect(self, ip):
        """End the cut of a host."""
        self.forms.pop(ip, None)


def _host(side):
    return side.transport.getPeer().host
