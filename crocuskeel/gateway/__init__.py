"""I/O of an entry host around :mod:`crocuskeel.core.entry`.

Callers' and backend servers' HTTP/1.1, datagrams between hosts, timers
and logs. What headers mean is said by a :class:`Dialect`, so that this
package knows nothing of the system it runs on.
"""

from crocuskeel.gateway.calls import call
from crocuskeel.gateway.dialect import Dialect
from crocuskeel.gateway.dialect import Head
from crocuskeel.gateway.dialect import Verdict
from crocuskeel.gateway.exceptions import CallFailed
from crocuskeel.gateway.exceptions import GatewayError
from crocuskeel.gateway.loop import new_gateway

__all__ = ["CallFailed", "Dialect", "GatewayError", "Head", "Verdict",
           "call", "new_gateway"]
