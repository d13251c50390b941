"""The check of hosts that are cut off from all servers."""

from tools.soak import engine
from tools.soak import record as records

__all__ = ["CUT_OFF", "check_cut_off", "servable"]

# Name of the fault in which a host is cut off from all servers. From
# CUT_KNOWN_S later requests there are served MIN_CUT_SHARE as often as at the
# other hosts, but for MAX_CUT_FAILED and MAX_CUT_FAILED_SHARE of all.
CUT_OFF = "cut off from servers"
CUT_KNOWN_S = 3.0
MIN_CUT_SHARE = 2 / 3
MAX_CUT_FAILED = 10
MAX_CUT_FAILED_SHARE = 1 / 50


def check_cut_off(record, kinds, harmless):
    """Return violations: callers of hosts that reach no server are served.

    Counted are requests of ``kinds`` whose bodies don't begin with
    ``harmless`` or crash servers, while another host is connected that is not
    being stopped as planned: there is nobody to relay to otherwise.
    """
    cuts = _cuts(record)
    errors = []
    ips = {sent.ip for sent in record.sent.values()}
    for start, end in sorted({fault[:2] for fault in cuts}):
        served = {True: [], False: []}
        for sent in record.sent.values():
            if (start + CUT_KNOWN_S <= sent.at < end
                    and _shows_path(record, sent, kinds, harmless)):
                is_cut = (start, end, sent.ip, CUT_OFF) in cuts
                if is_cut and not any(
                        _is_connected(record, cuts, ip, sent.at,
                                      sent.ended_at)
                        for ip in ips - {sent.ip}):
                    continue
                if is_cut or not _overlaps(cuts, sent):
                    served[is_cut].append(sent.reply.status == 200)
        failed = served[True].count(False)
        total = len(served[True]) + len(served[False])
        if (served[True] and served[False]
                and _share(served[True]) < MIN_CUT_SHARE
                * _share(served[False]) and failed
                > MAX_CUT_FAILED + MAX_CUT_FAILED_SHARE * total):
            errors.append(
                f"hosts cut off from servers served {served[True].count(True)}"
                f" of {len(served[True])}, the others "
                f"{served[False].count(True)} of {len(served[False])}")
    return errors


def servable(record, ips):
    """Return the requests that some host could have served.

    As they were sent, one of the hosts ``ips`` was connected to the servers
    and neither being stopped as planned nor known to be away. Tries that
    callers repeat don't count.
    """
    cuts = _cuts(record)
    return [sent for sent in record.sent.values()
            if not sent.request.is_repeated and any(
                _is_connected(record, cuts, ip, sent.at, sent.at)
                and not any(place == ip and since <= sent.at <= until
                            for place, since, until in record.away)
                for ip in ips)]


def _cuts(record):
    return [fault for fault in record.faults if fault[3] == CUT_OFF]


def _share(served):
    return served.count(True) / len(served)


def _overlaps(faults, sent):
    """Return whether a fault disturbed a request's host meanwhile."""
    return any(start <= sent.ended_at and end + records.AFTEREFFECT_S
               >= sent.at for start, end, place, _ in faults
               if place == sent.ip)


def _is_connected(record, cuts, ip, since, until):
    """Return whether a host is connected and not stopped between two times."""
    out = [(start, end) for start, end, place, _ in cuts if place == ip]
    out += [(start, end) for place, start, end in record.stops if place == ip]
    return not any(start <= until and end >= since for start, end in out)


def _shows_path(record, sent, kinds, harmless):
    """Return whether nothing but a cut disturbed a request's host."""
    return (sent.request.kind in kinds and not sent.reply.abandoned
            and not sent.request.body.startswith(
                (harmless, engine.POISON)) and not _overlaps(
                [fault for fault in record.faults if fault[3] != CUT_OFF],
                sent))
