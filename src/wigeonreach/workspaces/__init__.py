"""Workspaces: their credentials, caps and resource use."""

from wigeonreach.workspaces._amounts import NO_AMOUNTS, Amounts
from wigeonreach.workspaces._caps import fits_cap
from wigeonreach.workspaces._credentials import (
    NO_CREDENTIAL,
    Credential,
    credential_digest,
)
from wigeonreach.workspaces._index import Denial, WorkspaceIndex
from wigeonreach.workspaces._model import WorkspaceSpec
from wigeonreach.workspaces._usage import WorkspaceUsage

__all__ = (
    'NO_AMOUNTS',
    'NO_CREDENTIAL',
    'Amounts',
    'Credential',
    'Denial',
    'WorkspaceUsage',
    'WorkspaceIndex',
    'WorkspaceSpec',
    'credential_digest',
    'fits_cap',
)
