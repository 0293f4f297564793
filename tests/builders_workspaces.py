"""Builders of manifests, requests and stores with workspaces."""

from __future__ import annotations

import json
from types import MappingProxyType

from tests.builders_jobs import QUEUE, TERM, job, manifest, queue, step
from tests.builders_platform import Body, manifest_text
from wigeonreach.jobs import (
    AddJob,
    BeginTerm,
    JobSpec,
    JobStore,
    Manifest,
    SetManifest,
    StepSpec,
)
from wigeonreach.lab import commit
from wigeonreach.platform._http import HttpRequest
from wigeonreach.workspaces import (
    NO_AMOUNTS,
    Amounts,
    WorkspaceSpec,
    credential_digest,
)

CLUB = 'club'
OTHER_CLUB = 'other-club'
KEY = 'kk3p9x2m7q'
OTHER_KEY = 'zz8w1v5t4r'
STRANGE_KEY = 'never-held-by-anybody'
_KEYS = MappingProxyType({CLUB: KEY, OTHER_CLUB: OTHER_KEY})
PUBLIC_QUEUE = 'open-to-all'


def workspace(
    name: str = CLUB,
    api_keys: tuple[str, ...] = (),
    cap: Amounts = NO_AMOUNTS,
    weight: int = 1,
) -> WorkspaceSpec:
    """Return a workspace with some API keys."""
    keys = api_keys or (_KEYS[name],)
    return WorkspaceSpec(name, tuple(map(credential_digest, keys)), weight, cap)


def workspaces_manifest(
    *workspaces: WorkspaceSpec,
    version: int = 1,
) -> Manifest:
    """Return a manifest with a workspace queue and a public queue."""
    base = manifest(
        queue(),
        queue(PUBLIC_QUEUE, is_public=True),
        version=version,
    )
    return Manifest(
        version,
        base.queues,
        base.services,
        document=base.document,
        workspaces=workspaces,
    )


def workspaces_store(*workspaces: WorkspaceSpec) -> JobStore:
    """Return a store with a manifest of workspaces, and a term."""
    store = JobStore()
    commit(store, SetManifest(workspaces_manifest(*workspaces)))
    commit(store, BeginTerm(TERM))
    return store


def add(
    store: JobStore,
    spec: JobSpec,
    api_key: str = KEY,
    queue_name: str = QUEUE,
) -> None:
    """Submit a job with an API key."""
    commit(store, AddJob(spec, queue_name, 0, credential_digest(api_key)))


def numbered_job(number: int, *steps: StepSpec) -> JobSpec:
    """Return a job whose id is derived from a number."""
    return job(*(steps or (step(),)), job_id=f'{number:016x}')


def tenants_text(*tenants: Body, version: int = 3, **more: object) -> bytes:
    """Return a manifest with workspaces, as the platform sends it."""
    document = manifest_text()
    document['version'] = version
    document['tenants'] = list(tenants)
    document.update(more)
    return json.dumps(document).encode()


def tenant_text(name: str, *api_keys: str, **more: object) -> Body:
    """Return a workspace in the platform's format."""
    return {'name': name, 'apiKeys': list(api_keys), **more}


def request(
    method: str,
    path: str,
    authorization: str = '',
    body: bytes = b'',
) -> HttpRequest:
    """Return a request, with an Authorization header if given."""
    headers = {'Authorization': authorization} if authorization else {}
    return HttpRequest(method, 'a.example', path, body, headers)
