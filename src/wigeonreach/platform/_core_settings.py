"""Convert the platform's settings file to the settings of a core process."""

from __future__ import annotations

import os
import pathlib

from wigeonreach.codes import ResultCode
from wigeonreach.core import CoreSettings
from wigeonreach.exceptions import SettingError
from wigeonreach.platform._settings import (
    HOME_ZONES_VARIABLE,
    SHORTAGE_VARIABLE,
    PlatformFile,
)
from wigeonreach.scheduling import SchedulingSettings
from wigeonreach.wire import Address, parse_address

_MS_PER_S = 1000
_ON = 'on'
_OFF = 'off'


def core_settings(file: PlatformFile) -> CoreSettings:
    """Return the settings of a core process.

    Raises
    ------
    SettingError
        If the file does not set a data directory, or a variable of the
        environment that switches a mechanism is neither on nor off.
    """
    if not file.data_dir:
        raise SettingError(
            ResultCode.SETTING_MISSING,
            'dataDir: required; a core process stores its data on disk',
        )
    control = parse_address(file.listen_addrs.control_addr, 'controlAddr')
    return CoreSettings(
        listen=Address(file.ip, file.port_range[0]),
        zone=file.zone,
        seeds=file.seeds,
        data_folder=pathlib.Path(file.data_dir),
        is_first_start=file.bootstrap,
        tolerated_losses=file.fault_tolerance.machines,
        api_port=control.port,
        order_pause_s=file.bounds.lease_ms / _MS_PER_S,
        scheduling=SchedulingSettings(
            move_s=file.bounds.migration_s,
            far_factor=file.bounds.remote_factor,
            maintenance_s=file.bounds.maintenance_s,
            stop_s=file.bounds.kill_grace_ms / _MS_PER_S,
            unavailable_after_s=file.bounds.notice_ms / _MS_PER_S,
            shares_shortage=_switch(SHORTAGE_VARIABLE, _ON),
            keeps_jobs_in_zones=_switch(HOME_ZONES_VARIABLE, _OFF),
        ),
    )


def _switch(variable: str, default: str) -> bool:
    """Return whether a variable of the environment, or its default, is on."""
    text = os.environ.get(variable, default)
    if text not in {_ON, _OFF}:
        raise SettingError(
            ResultCode.SETTING_INVALID,
            f'{variable}={text}: allowed: {_ON}, {_OFF}',
        )
    return text == _ON
