"""HTTP plumbing of the stand-ins: listening, faults, JSON bodies."""
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
FAULT_ANSWER_SECONDS = 0.02
RESTART_SECONDS = 3.0


class _Conn(policies.ProtocolWrapper):
    """One connection; a silent one neither reads, writes nor closes."""

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
        # Something between the ends has lost a silent connection, so the
        # stand-in mustn't learn that the client has closed it.
        if self.silent:
            self.factory.unregisterProtocol(self)
            return
        super().connectionLost(reason)


class _ConnFactory(policies.WrappingFactory):
    """Keeps track of the open connections."""

    protocol = _Conn
    noisy = False


@dataclasses.dataclass(slots=True)
class Listener:
    """A listening port and its connections."""

    reactor: typing.Any
    address: str
    number: int
    factory: _ConnFactory
    port: typing.Any = None


def new_app():
    """Return an application that answers 400 to a bad body."""
    app = Klein()

    @app.handle_errors(exceptions.BadBodyError)
    def bad_body(req, failure):
        return answer_error(req, 400, "bad_body", failure.getErrorMessage())

    return app


def listen(reactor, app, address, number):
    """Serve an application and return its listener."""
    site = server.Site(app.resource(), reactor=reactor, timeout=None)
    site.noisy = False
    listener = Listener(reactor, address, number, _ConnFactory(site))
    _open_port(listener)
    return listener


def conn_of(req):
    """Return the connection that carries a request."""
    return req.channel.transport


def abort(req):
    """Break the connection of a request."""
    conn_of(req).abortConnection()


def silence(conn):
    """Make one connection silent for good."""
    conn.silent = True


def silence_all(listener, but):
    """Make the open connections silent, but the one of a request."""
    spared = conn_of(but)
    for conn in list(listener.factory.protocols):
        conn.silent = conn.silent or conn is not spared


def restart(listener):
    """Abort all connections, refuse new ones, then listen again."""
    if listener.port is None:
        return
    listener.port.stopListening()
    listener.port = None
    for conn in list(listener.factory.protocols):
        conn.abortConnection()
    listener.reactor.callLater(RESTART_SECONDS, _open_port, listener)


def answer(req, code, body):
    """Set the status and return a JSON body."""
    req.setResponseCode(code)
    req.setHeader("Content-Type", JSON_TYPE)
    return json.dumps(body).encode()


def answer_error(req, code, name, text):
    """Set the status and return a JSON error body."""
    return answer(req, code, {"error": {"code": name, "message": text}})


def new_schema(properties, required=(), strict=True):
    """Return a validator for an object; a strict one has no others."""
    return jsonschema.Draft202012Validator({
        "type": "object",
        "properties": properties,
        "required": list(required),
        "additionalProperties": not strict})


def read_json(req, validator):
    """Return the JSON body of a request or raise BadBodyError."""
    return parse_json(req.content.read(), validator)


def parse_json(raw, validator):
    """Return the valid JSON in some bytes or raise BadBodyError."""
    try:
        body = json.loads(raw)
    except ValueError as exc:
        raise exceptions.BadBodyError(str(exc)) from exc
    error = next(validator.iter_errors(body), None)
    if error is not None:
        raise exceptions.BadBodyError(error.message)
    return body


def int_arg(req, name, default):
    """Return a whole number of the query or raise BadBodyError."""
    return _arg(req, name, default, int)


def float_arg(req, name, default):
    """Return a number of the query or raise BadBodyError."""
    return _arg(req, name, default, float)


def set_fields(faults, values):
    """Set the named fields of a state and keep the others."""
    for name, value in values.items():
        setattr(faults, name, value)


def answer_fields(req, faults):
    """Return the fields of a state as the JSON body."""
    return answer(req, 200, dataclasses.asdict(faults))


def never():
    """Return a Deferred for a request that gets no answer."""
    return defer.Deferred(lambda _: None)


def _arg(req, name, default, convert):
    try:
        return convert(req.args.get(name, [default])[0])
    except ValueError as exc:
        raise exceptions.BadBodyError(f"{name!r} is no number") from exc


def _open_port(listener):
    listener.port = listener.reactor.listenTCP(
        listener.number, listener.factory, interface=listener.address)
