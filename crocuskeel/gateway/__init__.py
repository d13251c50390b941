"""I/O of an entry host around :mod:`crocuskeel.core.entry`.

HTTP/1.1 with callers and backend servers, datagrams between hosts, timers
and logs. A :class:`HeaderCodec` interprets the headers, so that this package
is independent of the deployment.
"""

from crocuskeel.gateway.calls import call
from crocuskeel.gateway.exceptions import CallFailed
from crocuskeel.gateway.exceptions import GatewayError
from crocuskeel.gateway.header_codec import Head
from crocuskeel.gateway.header_codec import HeaderCodec
from crocuskeel.gateway.header_codec import Verdict
from crocuskeel.gateway.loop import new_gateway

__all__ = ["CallFailed", "GatewayError", "Head", "HeaderCodec", "Verdict",
           "call", "new_gateway"]
