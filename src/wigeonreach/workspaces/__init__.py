"""Workspaces: their credentials, caps and resource use."""

from wigeonreach.workspaces._amounts import NO_AMOUNTS, Amounts
from wigeonreach.workspaces._caps import fits_cap
from wigeonreach.workspaces._credentials import (
    NO_CREDENTIAL,
    Credential,
    credential_of,
)
from wigeonreach.workspaces._index import Denial, WorkspaceIndex
from wigeonreach.workspaces._model import WorkspaceSpec
from wigeonreach.workspaces._use_book import UseBook

__all__ = (
    'NO_AMOUNTS',
    'NO_CREDENTIAL',
    'Amounts',
    'Credential',
    'Denial',
    'UseBook',
    'WorkspaceIndex',
    'WorkspaceSpec',
    'credential_of',
    'fits_cap',
)
