"""Encode and decode the idempotency keys that make retries safe."""

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
    """Content of an idempotency key.

    Attributes
    ----------
    zone, owner
        Zone and name of the entry that issued the key; only this entry may
        dispatch the request.
    incarnation
        Random identifier of one run of that entry's process.
    number
        Sequence number of the key within the incarnation.
    expires_ms
        Expiry time, in ms since the incarnation began.
    service
        Name of the service that the key is valid for.
    """

    zone: str
    owner: str
    incarnation: str
    number: int
    expires_ms: int
    service: str


class KeyCodec:
    """Encodes the keys of one incarnation and decodes those of any.

    A checksum lets every entry reject a corrupted key.  A message
    authentication code, whose secret never leaves the process, lets the
    owner reject a forged one.
    """

    def __init__(self) -> None:
        """Start a new incarnation with a random identifier and secret."""
        self.incarnation = secrets.token_hex(_INCARNATION_BYTES)
        self._secret = secrets.token_bytes(_SECRET_BYTES)

    def seal(self, key: Key) -> str:
        """Return the encoded text of a key with its authentication code."""
        plain = msgspec.msgpack.encode(key)
        sealed = plain + self._mac(plain)
        return _encode(sealed + xxhash.xxh32_digest(sealed))

    def read(self, text: str) -> Key:
        """Decode and verify the text of a key.

        Parameters
        ----------
        text
            Text that the caller sent.

        Returns
        -------
        Key
            The key; its authentication code is verified only if it names this
            incarnation.

        Raises
        ------
        RequestRefusedError
            If no entry issued this text, so that no request ran under it.
        """
        plain, mac = _decode(text)
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


def _encode(checked: bytes) -> str:
    return base64.urlsafe_b64encode(checked).decode().rstrip('=')


def _decode(text: str) -> tuple[bytes, bytes]:
    if len(text) > MAX_KEY_CHARACTERS:
        raise _invalid()
    padding = '=' * (-len(text) % 4)
    try:
        checked = base64.urlsafe_b64decode(f'{text}{padding}')
    except (binascii.Error, ValueError):
        raise _invalid() from None
    sealed = checked[:-_CHECKSUM_BYTES]
    # Several base64 texts decode to the same bytes; only one was issued.
    if _encode(sealed + xxhash.xxh32_digest(sealed)) != text:
        raise _invalid()
    return sealed[:-_MAC_BYTES], sealed[-_MAC_BYTES:]


def _invalid() -> RequestRefusedError:
    return RequestRefusedError(
        ResultCode.REQUEST_KEY_INVALID,
        'allowed: a key from POST /v1/keys/SERVICE, unaltered',
    )


_DECODER: Final = msgspec.msgpack.Decoder(Key)
