"""Typed messages between processes, sent as msgpack over TCP."""

from wigeonreach.wire._address import (
    Address,
    Member,
    parse_address,
    parse_members,
)
from wigeonreach.wire._channel import Channel, connect, serve
from wigeonreach.wire._messages import Message

__all__ = (
    'Address',
    'Channel',
    'Member',
    'Message',
    'connect',
    'parse_address',
    'parse_members',
    'serve',
)
