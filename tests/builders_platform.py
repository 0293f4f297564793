"""Build request and response bodies as the platform sends them."""

from __future__ import annotations

JOB_ID = '5c0e7a21d94b36f8'
Body = dict[str, object]


def heartbeat() -> Body:
    """Return a heartbeat with all fields."""
    return {
        'service': 's',
        'address': '10.0.0.9:8080',
        'zone': 'a',
        'version': 'v1',
        'slots': 8,
        'sequence': 4,
        'state': 'ready',
        'coldRemainingMs': 0,
        'machine': 'm-1',
        'labels': ['kind', 'r1-3'],
        'capacity': {'cpu': 16000, 'memMb': 32768, 'gpu': 0},
        'clockMs': 482113,
        'running': [[f'{JOB_ID}.0.1.17', 2, 'saved', 41, 700]],
        'finished': [[58, f'{JOB_ID}.0.1.9', 1, 'done', '']],
    }


def vm_entry() -> Body:
    """Return one entry of the platform's list of VMs."""
    return {
        'machine': 'm-1',
        'pool': 's',
        'state': 'up',
        'zone': 'a',
        'labels': ['kind', 'r1-3'],
        'capacity': {'cpu': 16000, 'memMb': 32768, 'gpu': 0},
        'id': 'i-1',
    }


def vm_page() -> Body:
    """Return a page of the platform's list of VMs."""
    return {'machines': [vm_entry()], 'nextToken': None}


def advice_response() -> Body:
    """Return a response of the advisor."""
    return {
        'allowedWorkers': [['i-1', 'ticket']],
        'validityMs': 3000,
    }


def submitted_job() -> Body:
    """Return a submitted job with one step."""
    return {
        'spec': 'text',
        'phases': [{'count': 2, 'cpu': 500, 'dependsOn': []}],
    }


def manifest_text() -> Body:
    """Return a manifest with one queue."""
    return {
        'version': 3,
        'routes': [
            {
                'name': 'r-1',
                'host': 'a.example',
                'pathPrefix': '/a/',
                'service': 's',
                'timeoutMs': 3000,
            },
        ],
        'services': [{'name': 's', 'standby': True}],
    }


def wave() -> Body:
    """Return a maintenance wave with one VM."""
    return {
        'wave': 1,
        'machines': ['m-1'],
        'deadlineS': 20,
        'cap': 3,
    }
