"""Backend servers: the host list, servers that are leaving, and cells."""

from crocuskeel.core.backends.grouping import assign_cell
from crocuskeel.core.backends.grouping import cell_engines
from crocuskeel.core.backends.grouping import cells
from crocuskeel.core.backends.state import BackendsState
from crocuskeel.core.backends.state import get
from crocuskeel.core.backends.state import handle
from crocuskeel.core.backends.state import is_usable
from crocuskeel.core.backends.state import new_state
from crocuskeel.core.backends.state import service_backends

__all__ = ["BackendsState", "assign_cell", "cell_engines", "cells", "get",
           "handle", "is_usable", "new_state", "service_backends"]
