"""Write and read the keys that make a request safe to send again."""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac
import secrets
from typing import Final

import msgspec
import xxhash

from wigeonreach.codes import ResultCode
from wigeonreach.exceptions import RequestRefusedError

MAX_KEY_CHARACTERS: Final = 512
_SECRET_BYTES: Final = 16
_MAC_BYTES: Final = 12
_CHECKSUM_BYTES: Final = 4
_INCARNATION_BYTES: Final = 8


class Key(msgspec.Struct, frozen=True, array_like=True):
    """What a key says.

    Attributes
    ----------
    zone, owner
        The entry that issued it; no other may have the request run.
    incarnation
        Random name of the start of that entry's process.
    number
        Tells the keys of one incarnation from each other.
    expires_ms
        End of its validity, in ms since the incarnation began.
    service
        The service that it was issued for.
    """

    zone: str
    owner: str
    incarnation: str
    number: int
    expires_ms: int
    service: str


class KeyCodec:
    """Seal the keys of one incarnation and read those of any.

    A checksum lets every entry refuse a key that was altered on its way; a
    code under a secret, which never leaves the process, lets the owner refuse
    one that was invented.
    """

    def __init__(self) -> None:
        """Begin a new incarnation."""
        self.incarnation = secrets.token_hex(_INCARNATION_BYTES)
        self._secret = secrets.token_bytes(_SECRET_BYTES)

    def seal(self, key: Key) -> str:
        """Return the text of a key that this incarnation issues."""
        plain = msgspec.msgpack.encode(key)
        sealed = plain + self._mac(plain)
        return _pack(sealed + xxhash.xxh32_digest(sealed))

    def read(self, text: str) -> Key:
        """Return what a key says.

        Parameters
        ----------
        text
            What the caller sent.

        Returns
        -------
        Key
            The key; if it names this incarnation, this incarnation issued it.

        Raises
        ------
        RequestRefusedError
            If no entry issued this text; nothing can have run under it.
        """
        plain, mac = _unpack(text)
        try:
            key = _DECODER.decode(plain)
        except msgspec.DecodeError:
            raise _invalid() from None
        if key.incarnation != self.incarnation:
            return key
        if not hmac.compare_digest(mac, self._mac(plain)):
            raise _invalid()
        return key

    def _mac(self, plain: bytes) -> bytes:
        return hashlib.blake2b(
            plain,
            digest_size=_MAC_BYTES,
            key=self._secret,
        ).digest()


def _pack(checked: bytes) -> str:
    return base64.urlsafe_b64encode(checked).decode().rstrip('=')


def _unpack(text: str) -> tuple[bytes, bytes]:
    if len(text) > MAX_KEY_CHARACTERS:
        raise _invalid()
    padding = '=' * (-len(text) % 4)
    try:
        checked = base64.urlsafe_b64decode(f'{text}{padding}')
    except (binascii.Error, ValueError):
        raise _invalid() from None
    sealed = checked[:-_CHECKSUM_BYTES]
    # Two texts can stand for the same bytes; only one of them was issued.
    if _pack(sealed + xxhash.xxh32_digest(sealed)) != text:
        raise _invalid()
    return sealed[:-_MAC_BYTES], sealed[-_MAC_BYTES:]


def _invalid() -> RequestRefusedError:
    return RequestRefusedError(
        ResultCode.REQUEST_KEY_INVALID,
        'allowed: a key from POST /v1/keys/SERVICE, unaltered',
    )


_DECODER: Final = msgspec.msgpack.Decoder(Key)
