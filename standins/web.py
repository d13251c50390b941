"""HTTP utilities of the stand-ins: listening, faults, JSON bodies."""
import dataclasses
import json
import typing

import jsonschema
from klein import Klein
from twisted.internet import defer
from twisted.protocols import policies
from twisted.web import server

from standins import exceptions

JSON_TYPE = "application/json"
CRASH_DELAY_SECONDS = 0.02
RESTART_SECONDS = 3.0


class _Connection(policies.ProtocolWrapper):
    """One connection; a silent one ignores reads, writes and closes."""

    silent = False

    def dataReceived(self, data):
        if not self.silent:
            super().dataReceived(data)

    def write(self, data):
        if not self.silent:
            super().write(data)

    def writeSequence(self, data):
        if not self.silent:
            super().writeSequence(data)

    def loseConnection(self):
        if not self.silent:
            super().loseConnection()

    def connectionLost(self, reason):
        # A silent connection simulates one that was dropped by a device on
        # the path, so the stand-in must not see that the client closed it.
        if self.silent:
            self.factory.unregisterProtocol(self)
            return
        super().connectionLost(reason)


class _ConnectionFactory(policies.WrappingFactory):
    """Tracks the open connections."""

    protocol = _Connection
    noisy = False


@dataclasses.dataclass(slots=True)
class Listener:
    """A listening port and its connections; ``number`` is the port number."""

    reactor: typing.Any
    address: str
    number: int
    factory: _ConnectionFactory
    port: typing.Any = None


def new_app():
    """Return an application that answers 400 to an invalid body."""
    app = Klein()

    @app.handle_errors(exceptions.InvalidBodyError)
    def on_invalid_body(req, failure):
        return error_response(req, 400, "bad_body", failure.getErrorMessage())

    return app


def listen(reactor, app, address, number):
    """Serve an application and return its listener."""
    site = server.Site(app.resource(), reactor=reactor, timeout=None)
    site.noisy = False
    listener = Listener(reactor, address, number, _ConnectionFactory(site))
    _open_port(listener)
    return listener


def connection_of(req):
    """Return the connection of a request."""
    return req.channel.transport


def abort(req):
    """Abort the connection of a request."""
    connection_of(req).abortConnection()


def silence(conn):
    """Make a connection silent permanently."""
    conn.silent = True


def silence_connections(listener, exempt_req):
    """Make all open connections silent except that of a request."""
    exempt = connection_of(exempt_req)
    for conn in list(listener.factory.protocols):
        conn.silent = conn.silent or conn is not exempt


def restart(listener):
    """Abort all connections, refuse new ones, then listen again."""
    if listener.port is None:
        return
    listener.port.stopListening()
    listener.port = None
    for conn in list(listener.factory.protocols):
        conn.abortConnection()
    listener.reactor.callLater(RESTART_SECONDS, _open_port, listener)


def json_response(req, code, body):
    """Set the response status; return the encoded JSON body."""
    req.setResponseCode(code)
    req.setHeader("Content-Type", JSON_TYPE)
    return json.dumps(body).encode()


def error_response(req, code, name, text):
    """Set the response status; return an encoded JSON error body."""
    return json_response(req, code, {"error": {"code": name, "message": text}})


def new_schema(properties, required=(), strict=True):
    """Return a validator of an object.

    A strict one rejects properties that are not listed.
    """
    return jsonschema.Draft202012Validator({
        "type": "object",
        "properties": properties,
        "required": list(required),
        "additionalProperties": not strict})


def read_json(req, validator):
    """Return the validated JSON body of a request.

    :raises InvalidBodyError: it is not JSON or does not match the schema.
    """
    return parse_json(req.content.read(), validator)


def parse_json(raw, validator):
    """Return the validated JSON value of some bytes.

    :raises InvalidBodyError: it is not JSON or does not match the schema.
    """
    try:
        body = json.loads(raw)
    except ValueError as exc:
        raise exceptions.InvalidBodyError(str(exc)) from exc
    error = next(validator.iter_errors(body), None)
    if error is not None:
        raise exceptions.InvalidBodyError(error.message)
    return body


def int_arg(req, name, default):
    """Return an integer query parameter or raise InvalidBodyError."""
    return _query_arg(req, name, default, int)


def float_arg(req, name, default):
    """Return a numeric query parameter or raise InvalidBodyError."""
    return _query_arg(req, name, default, float)


def set_fields(faults, values):
    """Set the named faults; the others keep their values."""
    for name, value in values.items():
        setattr(faults, name, value)


def fields_response(req, faults):
    """Return the active faults as a JSON response."""
    return json_response(req, 200, dataclasses.asdict(faults))


def no_response():
    """Return a Deferred for a request that is never answered."""
    return defer.Deferred(lambda _: None)


def _query_arg(req, name, default, convert):
    try:
        return convert(req.args.get(name, [default])[0])
    except ValueError as exc:
        raise exceptions.InvalidBodyError(f"{name!r} is no number") from exc


def _open_port(listener):
    listener.port = listener.reactor.listenTCP(
        listener.number, listener.factory, interface=listener.address)
