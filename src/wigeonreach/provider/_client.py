"""HTTP client of the platform; every response is validated."""

from __future__ import annotations

import functools
import uuid
from collections.abc import Mapping
from typing import TypeVar

import aiohttp
import msgspec
import pydantic

from wigeonreach.codes import ResultCode
from wigeonreach.exceptions import PlatformError
from wigeonreach.observe import Metrics
from wigeonreach.provider._model import (
    Action,
    TaskAction,
    TaskView,
    VmAction,
    VmPage,
)
from wigeonreach.provider._schema import (
    ActionSchema,
    TasksSchema,
    VmPageSchema,
)

_TIMEOUT_S = 2.0
_MAX_RESPONSE_BYTES = 32 * 1024 * 1024
_FENCED_STATUS = 409
_ERROR_STATUS = 400
_Schema = TypeVar('_Schema', VmPageSchema, TasksSchema, ActionSchema)


class PlatformClient:
    """Client of the platform at a base URL.

    Parameters
    ----------
    url
        Base URL, such as ``http://127.0.0.1:9000``.
    metrics
        Counts refusals and errors.
    timeout_s
        Timeout of each request, in seconds.
    """

    def __init__(
        self,
        url: str,
        metrics: Metrics,
        timeout_s: float = _TIMEOUT_S,
    ) -> None:
        """Prepare; the session is created by ``open``."""
        self._url = url.rstrip('/')
        self._metrics = metrics
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)
        self._session: aiohttp.ClientSession | None = None

    async def open(self) -> None:
        """Create the session; requires a running event loop."""
        self._session = aiohttp.ClientSession(timeout=self._timeout)

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def list_vms(self, after_revision: int) -> VmPage:
        """Return the VMs that changed after a revision; 0 for all."""
        path = f'/v1/vms?after={after_revision}'
        response = await self._request('GET', path, VmPageSchema)
        return response.page()

    async def list_tasks(self, worker: str) -> tuple[TaskView, ...]:
        """Return the tasks of a worker; their usage is reported late."""
        path = f'/v1/workers/{worker}/tasks'
        response = await self._request('GET', path, TasksSchema)
        if any(task.worker != worker for task in response.tasks):
            raise self._counted_error(
                ResultCode.PLATFORM_ANSWER_WRONG,
                f'tasks of another worker than {worker}',
            )
        return tuple(task.view() for task in response.tasks)

    async def act(self, action: Action) -> None:
        """Request an action; its effect shows in later lists.

        Raises
        ------
        PlatformError
            If the platform refused, or the outcome is unknown.
        """
        body = msgspec.json.encode(action)
        response = await self._request(
            'POST', _path(action), ActionSchema, body
        )
        expected = (action.action_id, _subject(action))
        if (response.action_id, response.subject) != expected:
            raise self._counted_error(
                ResultCode.PLATFORM_ANSWER_WRONG,
                f'{response.action_id} on {response.subject}, '
                f'expected: {action.action_id}',
            )

    async def _request(
        self,
        method: str,
        path: str,
        schema: type[_Schema],
        body: bytes | None = None,
    ) -> _Schema:
        request_id = uuid.uuid4().hex
        raw = await self._send(
            method,
            path,
            body,
            {'X-Request-Id': request_id},
        )
        try:
            response = schema.model_validate_json(raw)
        except pydantic.ValidationError as error:
            raise self._counted_error(
                ResultCode.PLATFORM_ANSWER_WRONG,
                f'{path}: {error.error_count()} validation errors',
            ) from error
        if response.request_id != request_id:
            # A late response to an earlier request, or another client's.
            raise self._counted_error(
                ResultCode.PLATFORM_ANSWER_WRONG,
                f'{path}: the response belongs to another request',
            )
        return response

    async def _send(
        self,
        method: str,
        path: str,
        body: bytes | None,
        headers: Mapping[str, str],
    ) -> bytes:
        if self._session is None:
            raise self._counted_error(
                ResultCode.PLATFORM_UNREACHABLE, 'the client is not open'
            )
        url = f'{self._url}{path}'
        try:
            async with self._session.request(
                method, url, data=body, headers=headers
            ) as response:
                raw = await response.content.read(_MAX_RESPONSE_BYTES)
                status = response.status
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            raise self._counted_error(
                ResultCode.PLATFORM_UNREACHABLE,
                f'{path}: {error!r}',
            ) from error
        if status >= _ERROR_STATUS:
            is_fenced = status == _FENCED_STATUS
            raise self._counted_error(
                ResultCode.PLATFORM_FENCED
                if is_fenced
                else ResultCode.PLATFORM_REFUSED,
                f'{path}: status {status}',
            )
        return raw

    def _counted_error(self, code: ResultCode, detail: str) -> PlatformError:
        self._metrics.count('platform_faults', code.name.lower())
        return PlatformError(code, detail)


@functools.singledispatch
def _path(action: Action) -> str:
    raise NotImplementedError(type(action).__name__)


@_path.register
def _vm_path(action: VmAction) -> str:
    return f'/v1/vms/{action.vm}/actions'


@_path.register
def _task_path(action: TaskAction) -> str:
    return f'/v1/workers/{action.worker}/actions'


@functools.singledispatch
def _subject(action: Action) -> str:
    raise NotImplementedError(type(action).__name__)


@_subject.register
def _vm_subject(action: VmAction) -> str:
    return action.vm


@_subject.register
def _task_subject(action: TaskAction) -> str:
    return action.job_id
