"""Fault table of keys: what is said of a request that is refused.

Beside the rows of ``tests.door.rows``; the same form.
"""

from crocuskeel.core import events
from crocuskeel.core import messages
from tests.door import driver
from tests.door import rows

BOOK = rows.BOOK
Row = rows.Row


def looked(status, **extra):
    """The slot's owner answers a look for the key, granting nothing."""
    key = driver.claim_key("north", "k")
    return rows.told(lambda host, rid: messages.ClaimAnswer(
        rid, key, status, **extra), "h2")


def stops():
    return lambda host, rid: host.feed(events.DrainAsked())


def looked_later(rid, status, **extra):
    return lambda host, _: looked(status, **extra)(host, rid)


def refused_booking(reason):
    """The booking's dispatcher refuses it from its queue."""
    return lambda host, rid: host.receive(
        host.owner(host.request(rid).cell), messages.Refusal(
            rid, 1, host.request(rid).cell, reason, 2.0))


FIRST = BOOK | {"first_sending": True}

KEYS = (
    Row("first_in_outage", "With the platform out each refused booking is "
        "called unknown, and a person has to look up every one.",
        FIRST, (refused_booking("overload"),),
        "enqueue, answer overload not_run"),
    Row("refused_first", "A booking that nobody took is called unknown, "
        "and a person has to look it up.",
        BOOK, (refused_booking("overload"), looked("absent")),
        "enqueue, claimlook, answer overload not_run"),
    Row("refused_resend", "A booking ran, its answer was lost; its resend "
        "at another host is refused from the queue as not_run, and the "
        "clerk books by hand a second time.",
        BOOK, (refused_booking("deadline"), looked(
            "duplicate", holder_host="h9", holder_rid="h9.1.4",
            outcome="unknown")),
        "enqueue, claimlook, answer duplicate unknown"),
    Row("refused_resend_kept", "As above, though the holder still has the "
        "answer.",
        BOOK, (refused_booking("queue_full"), looked(
            "duplicate", holder_host="h2", holder_rid="h2.1.4",
            outcome="ran")),
        "enqueue, claimlook, replay from h2"),
    Row("late_resend", "As above, by the host's own deadline.",
        BOOK, (rows.wait(41.0),),
        "enqueue, withdraw, claimlook, answer deadline unknown"),
    Row("refused_in_outage", "With the platform out a host calls not_run "
        "what another one may have booked just before.",
        BOOK, (refused_booking("overload"), looked("unavailable")),
        "enqueue, claimlook, answer overload unknown"),
    Row("claim_in_outage", "As above, when the claim itself is refused.",
        BOOK, (rows.granted("d1"), rows.claimed("unavailable"),
               looked("unavailable")),
        "enqueue, claimask, release d1 cancelled, settle not_run, "
        "claimlook, answer claim_unavailable unknown"),
    Row("key_dropped", "A key older than the ledger keeps is called "
        "not_run though it may have booked long ago.",
        BOOK, (rows.granted("d1"), rows.claimed("too_old")),
        "enqueue, claimask, release d1 cancelled, "
        "answer key_too_old unknown, settle unknown"),
    Row("resend_to_leaving", "A stopping host redirects a resend and "
        "calls not_run what ran elsewhere.",
        {}, (stops(), rows.again(**BOOK), looked_later(
            "h1.1.2", "duplicate", holder_host="h9", outcome="ran")),
        "enqueue, claimlook, answer duplicate ran"),
    Row("resend_of_a_stranger", "A token is revoked between a booking "
        "and its resend, which is then called not_run.",
        {}, (rows.again(**BOOK, workspace="west"),),
        "enqueue, answer unauthorized unknown"),
    Row("resend_to_full", "A full host calls not_run what ran elsewhere; "
        "the owner's answer is lost on its way.",
        {}, (rows.again(**rows.BULK), rows.again(**BOOK), rows.wait(0.6)),
        "enqueue, answer overload not_run, claimlook, "
        "answer overload unknown", max_requests=1),
    Row("resend_of_a_resend", "Two resends wait here for one held "
        "elsewhere; the second is never forgotten and a planned stop "
        "never ends.",
        BOOK, (rows.again(**BOOK), rows.granted("d1"), rows.claimed(
            "duplicate", holder_host="h9", holder_rid="h9.1.4"),
            stops(), rows.wait(4.0)),
        "enqueue, claimask, release d1 cancelled, "
        "answer duplicate unknown, answer duplicate unknown, exit"),
)
