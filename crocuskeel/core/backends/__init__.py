"""Backend servers: the host list, servers that are leaving, and cells."""

from crocuskeel.core.backends.grouping import cell_engines
from crocuskeel.core.backends.grouping import cell_for
from crocuskeel.core.backends.grouping import cells
from crocuskeel.core.backends.state import BackendsState
from crocuskeel.core.backends.state import get
from crocuskeel.core.backends.state import handle
from crocuskeel.core.backends.state import new_state
from crocuskeel.core.backends.state import service_backends
from crocuskeel.core.backends.state import usable

__all__ = ["BackendsState", "cell_engines", "cell_for", "cells", "get",
           "handle", "new_state", "service_backends", "usable"]
