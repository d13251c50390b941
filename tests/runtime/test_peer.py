"""Contract between entry hosts: one row a fault."""

import asyncio
import dataclasses
import unittest

from loguru import logger

from crocuskeel.core import events
from crocuskeel.core import messages
from crocuskeel.runtime import datagrams
from crocuskeel.runtime import links
from crocuskeel.runtime import peers
from crocuskeel import wire
from tests.runtime import support

SETTLE_TURNS = 30
NOTE = messages.Withdraw("rid", 1, "cell")


def setUpModule():
    """Keep the refusals that are meant out of the tests' output."""
    logger.disable("crocuskeel")


def tearDownModule():
    """Log as before."""
    logger.enable("crocuskeel")


@dataclasses.dataclass(slots=True)
class Pipe:
    """A gRPC stream as links use it; the test is the other end."""

    sent: list = dataclasses.field(default_factory=list)
    inbox: asyncio.Queue = dataclasses.field(
        default_factory=asyncio.Queue)

    async def send_message(self, message):
        self.sent.append(message)

    async def recv_message(self):
        return await self.inbox.get()


async def settle():
    """Let all that can run now run."""
    for _ in range(SETTLE_TURNS):
        await asyncio.sleep(0)


class Far:
    """A peer played by the test, with its own key and numbers."""

    def __init__(self, host="entry-2", key=support.KEY, deployment="d"):
        cfg = support.new_cfg(host, deployment, key)
        self.ctx = support.new_world(cfg).ctx
        self.sequence = 0

    def batch(self, messages_=(), receiver="entry-1", **marks):
        """Return the next sealed batch."""
        self.sequence += 1
        frames = [wire.to_frame(each) for each in messages_]
        batch = peers.new_batch(
            self.ctx, receiver, self.sequence, frames, **marks)
        return wire.seal(self.ctx.cfg.key, batch)


def opened(sealed):
    """Return the batch of what the daemon sent."""
    return wire.open_sealed(support.KEY, sealed, "d", "entry-2")


class LinkCase(unittest.IsolatedAsyncioTestCase):
    """A daemon's link with a played peer."""

    async def asyncSetUp(self):
        self.world = support.new_world()
        self.ctx = self.world.ctx
        self.pipe = Pipe()
        self.task = None
        self.addAsyncCleanup(self._end)

    async def _end(self):
        self.ctx.stopping = True
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    def begin(self, host=""):
        """Begin a link, dialed by the daemon if it knows the host."""
        link = links.new_link(self.ctx, self.pipe, host)
        self.task = asyncio.ensure_future(links.run(self.ctx, link))
        return link

    async def give(self, sealed):
        """Hand a batch to the daemon."""
        await self.pipe.inbox.put(sealed)
        await settle()

    async def confirmed(self, far):
        """Go through the greeting with a peer; return the daemon's nonce."""
        self.begin()
        await self.give(far.batch(nonce=b"far"))
        nonce = opened(self.pipe.sent[0]).nonce
        await self.give(far.batch(session=nonce))
        self.assertTrue(self.world.seen(events.PeerUp))
        return nonce


class CancelledTest(LinkCase):
    """A link whose handler is cancelled while it closes."""

    async def test_a_link_cancelled_twice_is_gone(self):
        """After a pause of 4 s a host's grants never go out again.

        Its links were closed as silent; while their tasks were being
        ended, the peer's reset cancelled the handler too. The dead
        link stayed first of its group, and all messages to that host
        waited behind it for good.
        """
        await self.confirmed(Far())
        self.task.cancel()
        await asyncio.sleep(0)
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        self.assertEqual([], self.ctx.peers.links.get("entry-2", []))
        self.assertTrue(self.world.seen(events.PeerDown))


async def _wrong_key(case):
    await case.give(Far(key=b"x" * 32).batch(nonce=b"far"))


async def _other_deployment(case):
    await case.give(Far(deployment="other").batch(nonce=b"far"))


async def _other_receiver(case):
    await case.give(Far().batch(receiver="entry-3", nonce=b"far"))


async def _too_large(case):
    sealed = Far().batch(nonce=b"far")
    sealed.body += b"x" * wire.MAX_SEALED_BYTES
    await case.give(sealed)


async def _no_bytes_of_ours(case):
    sealed = Far().batch(nonce=b"far")
    sealed.body = b"\xff"
    await case.give(sealed)


async def _no_greeting(case):
    await case.give(Far().batch([NOTE]))


async def _recorded_on_another_link(case):
    far = Far()
    await case.give(far.batch(nonce=b"far"))
    await case.give(far.batch([NOTE], session=b"an older nonce"))


async def _work_before_the_session(case):
    far = Far()
    await case.give(far.batch(nonce=b"far"))
    await case.give(far.batch([NOTE]))


async def _played_again(case):
    far = Far()
    greeting = far.batch(nonce=b"far")
    await case.give(greeting)
    await case.give(greeting)


async def _another_sender(case):
    await case.give(Far().batch(nonce=b"far"))
    other = Far("entry-3")
    other.sequence = 1
    nonce = opened(case.pipe.sent[0]).nonce
    await case.give(other.batch([NOTE], session=nonce))


ROWS = (_wrong_key, _other_deployment, _other_receiver, _too_large,
        _no_bytes_of_ours, _no_greeting, _recorded_on_another_link,
        _work_before_the_session, _played_again, _another_sender)


class RefusedBatches(LinkCase):
    """Somebody on the network sends batches that are not for this link.

    A message of a stranger, of another deployment or of an earlier time
    would be acted on as a peer's: grants and claims would be forged.
    """

    async def test_rows(self):
        for act in ROWS:
            with self.subTest(act.__name__):
                await self.asyncSetUp()
                link = self.begin()
                await act(self)
                self.assertTrue(link.closed)
                self.assertEqual(self.ctx.peers.refused, 1)
                self.assertFalse(self.world.seen(events.Received))
                self.assertFalse(self.world.seen(events.PeerUp))
                await self._end()

    async def test_another_host_answers_a_dial(self):
        """An address was given to another host since.

        What waits for the old one must not go to it.
        """
        peers.send(self.ctx, "entry-3", NOTE)
        link = self.begin("entry-3")
        await self.give(Far().batch(nonce=b"far", session=link.nonce))
        self.assertTrue(link.closed)
        self.assertFalse(self.world.seen(events.PeerUp))


class Links(LinkCase):
    """A link with an honest peer."""

    async def test_messages_go_both_ways(self):
        far = Far()
        nonce = await self.confirmed(far)
        await self.give(far.batch([NOTE, NOTE], session=nonce))
        self.assertEqual(
            [each.message for each in self.world.seen(events.Received)],
            [NOTE, NOTE])
        self.pipe.sent.clear()
        for _ in range(3):
            peers.send(self.ctx, "entry-2", NOTE)
        await settle()
        sent, = self.pipe.sent
        self.assertEqual(len(opened(sent).frames), 3)
        self.assertEqual(opened(sent).session, b"far")

    async def test_silent_link_is_closed(self):
        """A connection to a peer goes silent for good.

        TCP tells neither side. Heartbeats are due every half second; a
        link without any for the whole silence span must be given up and
        the core told, so that it registers its work anew.
        """
        far = Far()
        nonce = await self.confirmed(far)
        silence_s = self.ctx.daemon.limits.peer_silence_s
        self.world.reactor.advance(silence_s - 0.5)
        await self.give(far.batch(session=nonce))
        self.world.reactor.advance(1.0)
        links.tick(self.ctx)
        await settle()
        self.assertFalse(self.world.seen(events.PeerDown))
        self.world.reactor.advance(silence_s)
        links.tick(self.ctx)
        await settle()
        self.assertTrue(self.world.seen(events.PeerDown))

    async def test_heartbeats(self):
        """A quiet link's other end must hear that this host lives."""
        await self.confirmed(Far())
        links.tick(self.ctx)
        await settle()
        self.pipe.sent.clear()
        self.world.reactor.advance(
            self.ctx.daemon.limits.peer_silence_s / 3)
        links.tick(self.ctx)
        await settle()
        self.assertEqual(len(self.pipe.sent), 1)

    async def test_full_outbox_breaks_the_link(self):
        """A peer reads slower than this host writes to it.

        Dropping single messages would lose grants unseen. The link is
        broken instead, which the core knows to make good.
        """
        await self.confirmed(Far())
        chunk = messages.ReplayChunk("rid", "more", b"x" * 1024 * 1024)
        for _ in range(peers.MAX_OUTBOX_BYTES // 1024 // 1024 + 1):
            peers.send(self.ctx, "entry-2", chunk)
        await settle()
        self.assertTrue(self.world.seen(events.PeerDown))


class Datagrams(unittest.TestCase):
    """Probes, which may be lost, doubled and overtaken."""

    def setUp(self):
        self.world = support.new_world()
        datagrams.listen(self.world.ctx)
        self.port = self.world.ctx.peers.datagrams.port
        self.far = Far()

    def give(self, sealed):
        """Hand in a datagram; return how many were taken so far."""
        self.port.datagramReceived(
            sealed.SerializeToString(), ("127.0.0.1", 9))
        return len(self.world.seen(events.Received))

    def test_rows(self):
        probe = messages.Probe(1)
        first, second = self.far.batch([probe]), self.far.batch([probe])
        rows = (
            ("overtaking", second, 1), ("overtaken", first, 2),
            ("doubled", first, 2),
            ("of a wrong key", Far(key=b"x" * 32).batch([probe]), 2),
            ("of another deployment",
             Far(deployment="x").batch([probe]), 2),
            ("recorded on a link",
             self.far.batch([probe], session=b"s"), 2),
            ("of the same peer", self.far.batch([probe]), 3))
        for name, sealed, taken in rows:
            with self.subTest(name):
                self.assertEqual(self.give(sealed), taken)
