"""Settings of a replica."""

from __future__ import annotations

import dataclasses
import pathlib

from wigeonreach.codes import ResultCode
from wigeonreach.exceptions import SettingError
from wigeonreach.wire import Address, Member


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaSettings:
    """Identity of a replica, the members of its cluster and its data folder."""

    name: str
    zone: str
    listen: Address
    members: tuple[Member, ...]
    data_folder: pathlib.Path

    def __post_init__(self) -> None:
        """Check that the replica itself is among the members."""
        if self.name not in {member.name for member in self.members}:
            raise SettingError(
                ResultCode.SETTING_INVALID,
                f'--replica: must also name this replica, {self.name!r}',
            )

    @property
    def quorum(self) -> int:
        """Number of replicas that make a majority."""
        return len(self.members) // 2 + 1
