"""Parse the addresses and members that settings list."""

from __future__ import annotations

import dataclasses
import ipaddress
from collections.abc import Iterable

from wigeonreach.codes import ResultCode
from wigeonreach.exceptions import SettingError

_MAX_PORT = 65_535


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return the address as it is written in settings."""
        return f'{self.host}:{self.port}'


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A process listed in the settings, with its zone and address."""

    name: str
    zone: str
    address: Address


def parse_address(text: str, setting: str) -> Address:
    """Parse ``IP:PORT``.

    Parameters
    ----------
    text
        Value of the setting.
    setting
        Name of the setting, for the error message.

    Returns
    -------
    Address
        The parsed address.

    Raises
    ------
    SettingError
        If the text is not an IP address and a port.
    """
    host, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise _invalid(setting, text) from None
    if not port.isdecimal() or int(port) > _MAX_PORT:
        raise _invalid(setting, text)
    return Address(host, int(port))


def parse_members(texts: Iterable[str], setting: str) -> tuple[Member, ...]:
    """Parse a list of ``NAME@ZONE=IP:PORT``.

    Parameters
    ----------
    texts
        Values of the setting, one member each.
    setting
        Name of the setting, for the error message.

    Returns
    -------
    tuple of Member
        The members, in the order given.

    Raises
    ------
    SettingError
        If a member is malformed or a name is listed twice.
    """
    members = tuple(_parse_member(text, setting) for text in texts)
    if len({member.name for member in members}) != len(members):
        raise SettingError(
            ResultCode.SETTING_INVALID,
            f'{setting}: each name may be listed only once',
        )
    return members


def _parse_member(text: str, setting: str) -> Member:
    label, _, address = text.partition('=')
    name, _, zone = label.partition('@')
    if not name or not zone:
        raise SettingError(
            ResultCode.SETTING_INVALID,
            f'{setting}: {text!r}; allowed: NAME@ZONE=IP:PORT',
        )
    return Member(name, zone, parse_address(address, setting))


def _invalid(setting: str, text: str) -> SettingError:
    return SettingError(
        ResultCode.SETTING_INVALID,
        f'{setting}: {text!r}; allowed: IP:PORT',
    )
