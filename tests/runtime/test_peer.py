"""Contract between entry hosts: a table of faults."""

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

PENDING_TURNS = 30
MESSAGE = messages.Withdraw("rid", 1, "cell")


def setUpModule():
    """Suppress the log lines of expected refusals."""
    logger.disable("crocuskeel")


def tearDownModule():
    """Enable logging again."""
    logger.enable("crocuskeel")


@dataclasses.dataclass(slots=True)
class FakeStream:
    """A gRPC stream whose other end is the test."""

    sent: list = dataclasses.field(default_factory=list)
    inbox: asyncio.Queue = dataclasses.field(
        default_factory=asyncio.Queue)

    async def send_message(self, message):
        self.sent.append(message)

    async def recv_message(self):
        return await self.inbox.get()


async def run_pending():
    """Run all pending callbacks."""
    for _ in range(PENDING_TURNS):
        await asyncio.sleep(0)


class FakePeer:
    """A simulated peer with its own key and sequence numbers."""

    def __init__(self, host="entry-2", key=support.KEY, deployment="d"):
        cfg = support.new_settings(host, deployment, key)
        self.ctx = support.new_harness(cfg).ctx
        self.sequence = 0

    def batch(self, batch_messages=(), receiver="entry-1", **fields):
        """Return the next sealed batch."""
        self.sequence += 1
        frames = [wire.to_frame(message) for message in batch_messages]
        batch = peers.new_batch(
            self.ctx, receiver, self.sequence, frames, **fields)
        return wire.seal(self.ctx.cfg.key, batch)


def open_batch(sealed):
    """Return the batch in a message that the daemon sent."""
    return wire.open_sealed(support.KEY, sealed, "d", "entry-2")


class LinkCase(unittest.IsolatedAsyncioTestCase):
    """A daemon's link with a simulated peer."""

    async def asyncSetUp(self):
        self.harness = support.new_harness()
        self.ctx = self.harness.ctx
        self.stream = FakeStream()
        self.task = None
        self.addAsyncCleanup(self._end)

    async def _end(self):
        self.ctx.stopping = True
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    def start_link(self, host=""):
        """Start a link, dialed by the daemon if ``host`` is given."""
        link = links.new_link(self.ctx, self.stream, host)
        self.task = asyncio.ensure_future(links.run(self.ctx, link))
        return link

    async def deliver(self, sealed):
        """Deliver a batch to the daemon."""
        await self.stream.inbox.put(sealed)
        await run_pending()

    async def confirm_link(self, peer):
        """Confirm a link with a peer; return the daemon's nonce."""
        self.start_link()
        await self.deliver(peer.batch(nonce=b"far"))
        nonce = open_batch(self.stream.sent[0]).nonce
        await self.deliver(peer.batch(session=nonce))
        self.assertTrue(self.harness.recorded(events.PeerUp))
        return nonce


class CancelledLinkTest(LinkCase):
    """A link whose handler is cancelled while it closes."""

    async def test_link_cancelled_twice_is_removed(self):
        """After a pause of 4 s, a host's grants were never sent again.

        Its links were closed as silent. While their tasks were ending,
        the peer's reset also cancelled the handler; the dead link stayed
        first in its host's list and blocked all messages to that host.
        """
        await self.confirm_link(FakePeer())
        self.task.cancel()
        await asyncio.sleep(0)
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        self.assertEqual([], self.ctx.peers.links.get("entry-2", []))
        self.assertTrue(self.harness.recorded(events.PeerDown))


async def _wrong_key(case):
    await case.deliver(FakePeer(key=b"x" * 32).batch(nonce=b"far"))


async def _other_deployment(case):
    await case.deliver(FakePeer(deployment="other").batch(nonce=b"far"))


async def _other_receiver(case):
    await case.deliver(FakePeer().batch(receiver="entry-3", nonce=b"far"))


async def _too_large(case):
    sealed = FakePeer().batch(nonce=b"far")
    sealed.body += b"x" * wire.MAX_SEALED_BYTES
    await case.deliver(sealed)


async def _undecodable(case):
    sealed = FakePeer().batch(nonce=b"far")
    sealed.body = b"\xff"
    await case.deliver(sealed)


async def _no_nonce(case):
    await case.deliver(FakePeer().batch([MESSAGE]))


async def _recorded_on_another_link(case):
    peer = FakePeer()
    await case.deliver(peer.batch(nonce=b"far"))
    await case.deliver(peer.batch([MESSAGE], session=b"an older nonce"))


async def _message_before_session(case):
    peer = FakePeer()
    await case.deliver(peer.batch(nonce=b"far"))
    await case.deliver(peer.batch([MESSAGE]))


async def _replayed(case):
    peer = FakePeer()
    first_batch = peer.batch(nonce=b"far")
    await case.deliver(first_batch)
    await case.deliver(first_batch)


async def _another_sender(case):
    await case.deliver(FakePeer().batch(nonce=b"far"))
    other = FakePeer("entry-3")
    other.sequence = 1
    nonce = open_batch(case.stream.sent[0]).nonce
    await case.deliver(other.batch([MESSAGE], session=nonce))


FAULTS = (_wrong_key, _other_deployment, _other_receiver, _too_large,
          _undecodable, _no_nonce, _recorded_on_another_link,
          _message_before_session, _replayed, _another_sender)


class RefusedBatches(LinkCase):
    """Batches that do not belong to this link arrive.

    If messages of a foreign machine, of another deployment or of an
    earlier link were accepted, grants and claims could be forged.
    """

    async def test_faults(self):
        for send_batches in FAULTS:
            with self.subTest(send_batches.__name__):
                await self.asyncSetUp()
                link = self.start_link()
                await send_batches(self)
                self.assertTrue(link.closed)
                self.assertEqual(self.ctx.peers.refused_count, 1)
                self.assertFalse(self.harness.recorded(events.Received))
                self.assertFalse(self.harness.recorded(events.PeerUp))
                await self._end()

    async def test_another_host_answers_a_dial(self):
        """The dialed address has been reassigned to another host.

        Messages queued for the old host must not be sent to the new one.
        """
        peers.send(self.ctx, "entry-3", MESSAGE)
        link = self.start_link("entry-3")
        await self.deliver(FakePeer().batch(nonce=b"far", session=link.nonce))
        self.assertTrue(link.closed)
        self.assertFalse(self.harness.recorded(events.PeerUp))


class Links(LinkCase):
    """A link with a correct peer."""

    async def test_messages_are_exchanged(self):
        peer = FakePeer()
        nonce = await self.confirm_link(peer)
        await self.deliver(peer.batch([MESSAGE, MESSAGE], session=nonce))
        self.assertEqual(
            [event.message
             for event in self.harness.recorded(events.Received)],
            [MESSAGE, MESSAGE])
        self.stream.sent.clear()
        for _ in range(3):
            peers.send(self.ctx, "entry-2", MESSAGE)
        await run_pending()
        sent, = self.stream.sent
        self.assertEqual(len(open_batch(sent).frames), 3)
        self.assertEqual(open_batch(sent).session, b"far")

    async def test_silent_link_is_closed(self):
        """A connection to a peer goes silent permanently.

        TCP does not report it to either side. Heartbeats are due every
        half second; a link without any for the silence timeout must be
        closed and reported to the core, which registers its work again.
        """
        peer = FakePeer()
        nonce = await self.confirm_link(peer)
        silence_s = self.ctx.daemon.limits.peer_silence_s
        self.harness.reactor.advance(silence_s - 0.5)
        await self.deliver(peer.batch(session=nonce))
        self.harness.reactor.advance(1.0)
        links.check_links(self.ctx)
        await run_pending()
        self.assertFalse(self.harness.recorded(events.PeerDown))
        self.harness.reactor.advance(silence_s)
        links.check_links(self.ctx)
        await run_pending()
        self.assertTrue(self.harness.recorded(events.PeerDown))

    async def test_heartbeats(self):
        """An idle link must send heartbeats, or the peer closes it."""
        await self.confirm_link(FakePeer())
        links.check_links(self.ctx)
        await run_pending()
        self.stream.sent.clear()
        self.harness.reactor.advance(
            self.ctx.daemon.limits.peer_silence_s / 3)
        links.check_links(self.ctx)
        await run_pending()
        self.assertEqual(len(self.stream.sent), 1)

    async def test_full_outbox_closes_the_link(self):
        """A peer reads more slowly than this host writes to it.

        Dropping single messages would lose grants without notice. The
        link is closed instead, from which the core recovers.
        """
        await self.confirm_link(FakePeer())
        chunk = messages.ReplayChunk("rid", "more", b"x" * 1024 * 1024)
        for _ in range(peers.MAX_OUTBOX_BYTES // 1024 // 1024 + 1):
            peers.send(self.ctx, "entry-2", chunk)
        await run_pending()
        self.assertTrue(self.harness.recorded(events.PeerDown))


class Datagrams(unittest.TestCase):
    """Probes, which may be lost, duplicated and reordered."""

    def setUp(self):
        self.harness = support.new_harness()
        datagrams.listen(self.harness.ctx)
        self.port = self.harness.ctx.peers.datagrams.port
        self.peer = FakePeer()

    def deliver(self, sealed):
        """Deliver a datagram; return the number accepted so far."""
        self.port.datagramReceived(
            sealed.SerializeToString(), ("127.0.0.1", 9))
        return len(self.harness.recorded(events.Received))

    def test_faults(self):
        probe = messages.Probe(1)
        first, second = self.peer.batch([probe]), self.peer.batch([probe])
        rows = (
            ("first to arrive", second, 1), ("reordered", first, 2),
            ("duplicated", first, 2),
            ("of a wrong key", FakePeer(key=b"x" * 32).batch([probe]), 2),
            ("of another deployment",
             FakePeer(deployment="x").batch([probe]), 2),
            ("recorded on a link",
             self.peer.batch([probe], session=b"s"), 2),
            ("of the same peer", self.peer.batch([probe]), 3))
        for name, sealed, accepted in rows:
            with self.subTest(name):
                self.assertEqual(self.deliver(sealed), accepted)
