"""Parse the settings file that the platform writes for each process."""

from __future__ import annotations

import pathlib
import tomllib

import msgspec

from wigeonreach.codes import ResultCode
from wigeonreach.exceptions import SettingError
from wigeonreach.wire import Address, parse_address

# Environment variable, set by the platform, with the path of the settings file.
FILE_VARIABLE = 'WIGEONREACH_NODE_FILE'
# Optional environment variable with the port on which a process serves its
# metrics; it is not part of the platform's interface.
METRICS_VARIABLE = 'WIGEONREACH_METRICS_PORT'
# Optional environment variables that switch mechanisms of the scheduler; each is
# also a flag of the core command.
SHORTAGE_VARIABLE = 'WIGEONREACH_SHORTAGE'
HOME_ZONES_VARIABLE = 'WIGEONREACH_HOME_ZONES'
_DEFAULT_ORDER_PAUSE_MS = 3000
# The platform's name for the invariants on workspaces and their API keys.
_WORKSPACE_INVARIANT = 'tenants'


class _Listen(msgspec.Struct, frozen=True, rename='camel'):
    frontend_addr: str = ''
    ready: str = ''
    control_addr: str = ''


class _Tolerance(msgspec.Struct, frozen=True):
    machines: int = 1


class _Bounds(msgspec.Struct, frozen=True, rename='camel'):
    # Minimum time between orders of two leaders for the same VM; the platform
    # names it after a lease.
    lease_ms: int = _DEFAULT_ORDER_PAUSE_MS
    # Downtime of a VM that moves to another pool, which the platform calls a
    # migration.
    migration_s: float = 1.5
    # Downtime of a VM for its maintenance.
    maintenance_s: float = 2.0
    # Factor by which work takes longer away from its data.
    remote_factor: float = 1.0
    # Time that a run may continue after it was told to stop.
    kill_grace_ms: int = 400
    # Time after which a serving task that is not running counts as unavailable.
    notice_ms: int = 4500


class _Cloud(msgspec.Struct, frozen=True, rename='camel'):
    address: str = ''


class PlatformFile(msgspec.Struct, frozen=True, rename='camel'):
    """Content of the settings file; other keys are ignored.

    Attributes
    ----------
    port_range
        First and last port on which the system's own processes may listen for
        each other.
    seed_nodes
        Addresses at which workers reach some of the core processes.
    bootstrap
        True only when the whole system starts for the first time.
    recommendation
        Address of the advisor, or empty if there is none.
    invariants
        Names of the rules in force, which the platform calls invariants.
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
    def requires_credentials(self) -> bool:
        """Whether a manifest without workspaces accepts public calls only."""
        return _WORKSPACE_INVARIANT in self.invariants

    @property
    def seeds(self) -> tuple[str, ...]:
        """Addresses at which the seeds listen for other processes.

        The settings file gives the seeds' addresses for workers only; the
        port for other processes is the same on all machines.
        """
        return tuple(
            str(Address(host, self.port_range[0]))
            for host in map(_host_of, self.seed_nodes)
        )


def read_platform_file(path: pathlib.Path) -> PlatformFile:
    """Read and validate the settings file.

    Parameters
    ----------
    path
        Path of the file.

    Returns
    -------
    PlatformFile
        The validated settings.

    Raises
    ------
    SettingError
        If the file can't be read or a value has the wrong type.
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
