"""Sealed batches: authenticated, bound to deployment and receiver.

The hosts of a deployment share one key, named in each host's settings
file. The code is an HMAC-SHA256 over the whole serialized batch, so that
no other machine on the network can join and no message of another
deployment is accepted. The receiver's sequence check detects replays.
"""

from cryptography import exceptions as crypto_exceptions
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import hmac
from google.protobuf import message as pb_message

from crocuskeel.wire import crocuskeel_pb2 as pb
from crocuskeel.wire import exceptions

__all__ = ["MAX_SEALED_BYTES", "open_sealed", "seal"]

MAX_SEALED_BYTES = 4 * 1024 * 1024


def _new_mac(key, body):
    mac = hmac.HMAC(key, hashes.SHA256())
    mac.update(body)
    return mac


def seal(key, batch):
    """Return the ``Sealed`` message of a ``Batch``."""
    body = batch.SerializeToString()
    return pb.Sealed(body=body, code=_new_mac(key, body).finalize())


def open_sealed(key, sealed, deployment, receiver):
    """Return the ``Batch`` of a ``Sealed`` message.

    Raises :class:`AuthenticationError`, :class:`WrongRecipient` or
    :class:`BadMessage`. An empty receiver in the batch means any host,
    as in a first probe to an address whose host is not known yet.
    """
    if len(sealed.body) > MAX_SEALED_BYTES:
        raise exceptions.BadMessage("batch exceeds the size limit")
    try:
        _new_mac(key, sealed.body).verify(sealed.code)
    except crypto_exceptions.InvalidSignature as exc:
        raise exceptions.AuthenticationError(
            "invalid message authentication code") from exc
    try:
        batch = pb.Batch.FromString(sealed.body)
    except pb_message.DecodeError as exc:
        raise exceptions.BadMessage("batch can't be decoded") from exc
    if batch.deployment != deployment:
        raise exceptions.WrongRecipient(batch.deployment)
    if batch.receiver not in ("", receiver):
        raise exceptions.WrongRecipient(batch.receiver)
    return batch
