"""Per-zone daemon that runs maintenance waves and places jobs."""

from wigeonreach.manager._body import WaveBody, decode_body, encode_body
from wigeonreach.manager._daemon import Manager
from wigeonreach.manager._job_schema import JobStatus
from wigeonreach.manager._settings import ManagerSettings

__all__ = (
    'JobStatus',
    'Manager',
    'ManagerSettings',
    'WaveBody',
    'decode_body',
    'encode_body',
)
