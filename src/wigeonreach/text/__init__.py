"""Parse, check and compare the operator's configuration text."""

from wigeonreach.text._diff import Change, ChangeKind, diff_texts
from wigeonreach.text._model import (
    Budget,
    FailureDomain,
    FleetText,
    Maintenance,
    Pool,
    Service,
    ServiceMode,
    Team,
)
from wigeonreach.text._parse import parse_fleet_text
from wigeonreach.text._reader import TextReader

__all__ = (
    'Budget',
    'Change',
    'ChangeKind',
    'FailureDomain',
    'FleetText',
    'Maintenance',
    'Pool',
    'Service',
    'ServiceMode',
    'Team',
    'TextReader',
    'diff_texts',
    'parse_fleet_text',
)
