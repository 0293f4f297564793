"""Read the platform's settings file of a process."""

from __future__ import annotations

import pathlib
import tomllib

import msgspec

from wigeonreach.codes import ResultCode
from wigeonreach.exceptions import SettingError
from wigeonreach.wire import Address, parse_address

# The platform names the file in this variable of the environment.
FILE_VARIABLE = 'WIGEONREACH_NODE_FILE'
# A port of our own choice, on which each process serves its metrics.
METRICS_VARIABLE = 'WIGEONREACH_METRICS_PORT'
_DEFAULT_ORDER_PAUSE_MS = 3000
# The platform's name for the rules on workspaces and their API keys.
_WORKSPACE_RULES = 'tenants'


class _Listen(msgspec.Struct, frozen=True, rename='camel'):
    frontend_addr: str = ''
    ready: str = ''
    control_addr: str = ''


class _Tolerance(msgspec.Struct, frozen=True):
    machines: int = 1


class _Bounds(msgspec.Struct, frozen=True, rename='camel'):
    # The platform names it after a lease; it is the time that orders of two
    # holders for one VM have to be apart.
    lease_ms: int = _DEFAULT_ORDER_PAUSE_MS
    # The platform's word for moving a VM to another pool.
    migration_s: float = 1.5
    # The platform's word for maintaining a VM.
    maintenance_s: float = 2.0
    # Of the time that work takes away from its data.
    remote_factor: float = 1.0
    # How long a stop may take.
    kill_grace_ms: int = 400
    # After how long a task that is not at work counts as away.
    notice_ms: int = 4500


class _Cloud(msgspec.Struct, frozen=True, rename='camel'):
    address: str = ''


class PlatformFile(msgspec.Struct, frozen=True, rename='camel'):
    """The settings file; what is not listed here is not used.

    Attributes
    ----------
    port_range
        First and last port on which the system's own processes may talk.
    seed_nodes
        Addresses at which workers reach some of the core processes.
    bootstrap
        True only when the whole system starts for the first time.
    recommendation
        Address of the advisor, or nothing.
    invariants
        Which rules are in force.
    """

    node_name: str
    ip: str
    zone: str
    port_range: tuple[int, int]
    seed_nodes: tuple[str, ...]
    bootstrap: bool
    listen_addrs: _Listen
    data_dir: str = ''
    recommendation: str = ''
    invariants: tuple[str, ...] = ()
    fault_tolerance: _Tolerance = _Tolerance()
    bounds: _Bounds = _Bounds()
    cloud_api: _Cloud = _Cloud()

    @property
    def asks_credentials(self) -> bool:
        """Whether calls need a credential even if a manifest names none."""
        return _WORKSPACE_RULES in self.invariants

    @property
    def seeds(self) -> tuple[str, ...]:
        """Names of the seeds: where they listen for other processes.

        Ports are the same on all machines.
        """
        return tuple(
            str(Address(host, self.port_range[0]))
            for host in map(_host_of, self.seed_nodes)
        )


def read_platform_file(path: pathlib.Path) -> PlatformFile:
    """Read and check the settings file.

    Parameters
    ----------
    path
        Of the file.

    Returns
    -------
    PlatformFile
        The checked settings.

    Raises
    ------
    SettingError
        If the file can't be read or a value is of the wrong kind.
    """
    try:
        fields = tomllib.loads(path.read_text(encoding='utf-8'))
        return msgspec.convert(fields, PlatformFile)
    except (OSError, UnicodeDecodeError, ValueError) as error:
        raise SettingError(
            ResultCode.SETTING_INVALID,
            f'{FILE_VARIABLE}={path}: {error}',
        ) from error


def _host_of(address: str) -> str:
    return parse_address(address, 'seedNodes').host
