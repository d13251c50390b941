"""Engines that stop in an answer's head, or before its body has ended."""

__all__ = ["CUT", "FORMS", "cut_answer", "cut_answers", "is_open_part",
           "new_cut"]

# Name of the fault of engines, and the share of the answers of half of them.
CUT = "cut"
SHARE = 0.5
SPAN_S = 6.0
# An answer is sent in two pieces at times, with this delay between them, s.
PIECE_S = 0.02

STATUS = b"HTTP/1.1 200 OK\r\n"
EARLY = b"HTTP/1.1 103 Early Hints\r\n\r\n"
# Forms of heads that don't end; %(headers)s are whole header lines, each with
# its end, %(length)s is the length and %(digits)s not all of its digits.
HEADS = (
    b"", b"HTTP/1.1 20", STATUS, STATUS + b"%(headers)s",
    STATUS + b"%(headers)sContent-Le",
    STATUS + b"%(headers)sContent-Length: ",
    STATUS + b"%(headers)sContent-Length: %(digits)s",
    STATUS + b"%(headers)sContent-Length: 0",
    STATUS + b"%(headers)sContent-Length: %(digits)s\r\n",
    STATUS + b"%(headers)sTransfer-Encoding: chu",
    STATUS + b"%(headers)sTransfer-Encoding: chunked\r\n",
    STATUS + b"%(headers)sContent-Length: %(length)s\r\n\r",
    b"HTTP/1.1 200 OK\nContent-Length: %(digits)s\n",
    EARLY, EARLY + STATUS + b"%(headers)s")
# Forms of whole heads before a part of a body; the last two claim no end.
BODIES = (
    STATUS + b"%(headers)sContent-Length: %(length)s\r\n\r\n",
    STATUS + b"%(headers)sTransfer-Encoding: chunked\r\n\r\n",
    STATUS + b"%(headers)s\r\n", b"HTTP/1.0 200 OK\r\n%(headers)s\r\n")
OPEN = BODIES[2:]
FORMS = (*HEADS, *BODIES)


def cut_answers(soak):
    """Half of the servers of each service cut half of their answers."""
    soak.note_fault("plan", "servers cut answers", SPAN_S)
    chosen = list(soak.engines.values())[::2]
    for engine in chosen:
        engine.faults = {**engine.faults, CUT: SHARE}
    soak.call_later(SPAN_S, _restore, chosen)


def _restore(chosen):
    for engine in chosen:
        engine.faults = {name: share for name, share in engine.faults.items()
                         if name != CUT}


def new_cut(rng, headers, body):
    """Draw (bytes that an engine sends, whether these claim no end)."""
    form = rng.choice(rng.choice((HEADS, BODIES, OPEN)))
    lines = b"".join(b"%s: %s\r\n" % header for header in headers)
    length = b"%d" % len(body)
    data = form % {b"headers": lines, b"length": length,
                   b"digits": length[:len(length) // 2] or b"0"}
    if form not in BODIES:
        return data, False
    part = body[:rng.choice((0, len(body) // 2, rng.randrange(len(body))))]
    if form == BODIES[1] and part:
        part = b"%x\r\n%s\r\n" % (len(part), part)
    return data + part, form in OPEN


def cut_answer(reactor, rng, transport, data):
    """Send a part of an answer, at times in two pieces, and close."""
    if rng.random() < 0.5 or len(data) < 2:
        transport.write(data)
        transport.loseConnection()
        return
    half = rng.randrange(1, len(data))
    transport.write(data[:half])
    reactor.callLater(PIECE_S, transport.write, data[half:])
    reactor.callLater(PIECE_S, transport.loseConnection)


def is_open_part(reply, expected):
    """Return whether a short body claims no end and holds no other bytes.

    Comments and what follows the last line are not compared.
    """
    lines = reply.body.split(b"\n")
    whole = b"".join(line + b"\n" for line in lines[:-1]
                     if not line.startswith(b":"))
    return not reply.is_framed and expected.startswith(whole) and (
        len(lines) > 1 or expected.startswith(reply.body))
