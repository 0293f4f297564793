"""Test who may call, from the request to its answer."""

from __future__ import annotations

import json

import testtools
from testtools import matchers

from tests.builders_core import CoreCluster, run_cluster
from tests.builders_platform import JOB, submitted
from tests.builders_workspaces import (
    CLUB,
    KEY,
    OTHER_CLUB,
    OTHER_KEY,
    STRANGE_KEY,
    request,
    tenant_text,
    tenants_text,
)
from wigeonreach.codes import ResultCode
from wigeonreach.exceptions import FleetTextError
from wigeonreach.observe import Logger, Metrics
from wigeonreach.platform._client_api import ClientApi
from wigeonreach.platform._manifest import decode_manifest
from wigeonreach.wire._call_messages import PutManifest

_PATH = f'/a/{JOB}'
_BODY = json.dumps(submitted()).encode()
_MINE = f'Token {KEY}'
_OTHERS = f'Token {OTHER_KEY}'
_BOTH = (tenant_text(CLUB, KEY), tenant_text(OTHER_CLUB, OTHER_KEY))


class _Door:
    """An entry in front of three core processes."""

    def __init__(self, cluster: CoreCluster) -> None:
        self._cluster = cluster
        self._api = ClientApi(cluster.gateway, Logger('entry'), Metrics())

    async def put(self, *tenants: dict[str, object], version: int) -> None:
        """Put a manifest in force."""
        text = tenants_text(*tenants, version=version)
        await self._cluster.call(PutManifest(decode_manifest(text)))

    async def status(self, method: str, authorization: str = '') -> int:
        """Return the status that a call is answered with."""
        body = _BODY if method == 'POST' else b''
        reply = await self._api.handle(
            request(method, _PATH, authorization, body),
        )
        return reply.status


class TestCalls(testtools.TestCase):
    """Calls with and without a credential."""

    def test_stranger_runs_nothing(self) -> None:
        """Each call whose key no manifest held is refused, and true so."""

        async def body(cluster: CoreCluster) -> None:
            door = _Door(cluster)
            await door.put(*_BOTH, version=3)
            for told in ('', f'Token {STRANGE_KEY}', KEY, f'Bearer {KEY}'):
                for method in ('POST', 'GET', 'DELETE'):
                    status = await door.status(method, told)
                    self.assertThat(status, matchers.Equals(401))
            status = await door.status('GET', _MINE)
            self.assertThat(status, matchers.Equals(410))

        run_cluster(body)

    def test_key_works_as_long_as_it_is_in_force(self) -> None:
        """One just added does, one just withdrawn does not."""

        async def body(cluster: CoreCluster) -> None:
            door = _Door(cluster)
            await door.put(tenant_text(OTHER_CLUB, OTHER_KEY), version=3)
            before = await door.status('POST', _MINE)
            self.assertThat(before, matchers.Equals(401))
            await door.put(*_BOTH, version=4)
            for method in ('POST', 'GET'):
                status = await door.status(method, _MINE)
                self.assertThat(status, matchers.Equals(200))
            await door.put(tenant_text(CLUB, 'new-key'), version=5)
            for gone in ('POST', 'GET', 'DELETE'):
                status = await door.status(gone, _MINE)
                self.assertThat(status, matchers.Equals(401))
            status = await door.status('GET', 'token new-key')
            self.assertThat(status, matchers.Equals(200))

        run_cluster(body)

    def test_job_of_another_workspace(self) -> None:
        """It is neither shown nor cancelled, nor handed in a second time."""

        async def body(cluster: CoreCluster) -> None:
            door = _Door(cluster)
            await door.put(*_BOTH, version=3)
            await door.status('POST', _MINE)
            for method in ('POST', 'GET', 'DELETE'):
                status = await door.status(method, _OTHERS)
                self.assertThat(status, matchers.Equals(403))
            for own in ('POST', 'GET', 'DELETE'):
                status = await door.status(own, _MINE)
                self.assertThat(status, matchers.Equals(200))

        run_cluster(body)

    def test_manifest_without_workspaces_asks_for_nothing(self) -> None:
        """Unless the platform's rules on them are in force."""
        text = json.loads(tenants_text())
        text.pop('tenants')
        bare = json.dumps(text).encode()
        self.assertThat(decode_manifest(bare).workspaces, matchers.Is(None))
        self.assertThat(
            decode_manifest(bare, requires_credentials=True).workspaces,
            matchers.Equals(()),
        )


class TestWorkspacesOfManifests(testtools.TestCase):
    """What is read of workspaces, and what is refused."""

    def _refusal(self, *tenants: dict[str, object]) -> FleetTextError:
        return self.assertRaises(
            FleetTextError,
            decode_manifest,
            tenants_text(*tenants),
        )

    def test_key_of_two_workspaces(self) -> None:
        """Refused, and the error names the workspace but not the key."""
        error = self._refusal(
            tenant_text(CLUB, KEY),
            tenant_text(OTHER_CLUB, OTHER_KEY, KEY),
        )
        self.assertThat(error.code, matchers.Equals(ResultCode.TEXT_BAD_VALUE))
        self.assertThat(error.detail, matchers.Contains(OTHER_CLUB))
        self.assertThat(error.detail, matchers.Not(matchers.Contains(KEY)))

    def test_repeated_names_and_keys(self) -> None:
        """A workspace is named once, and names each key once."""
        for tenants in (
            (tenant_text(CLUB, KEY, KEY),),
            (tenant_text(CLUB, KEY), tenant_text(CLUB, OTHER_KEY)),
        ):
            error = self._refusal(*tenants)
            self.assertThat(error.detail, matchers.Contains(CLUB))

    def test_bad_amounts(self) -> None:
        """Caps and weights are whole and not negative."""
        for more in (
            {'cap': {'cpu': -1}},
            {'cap': {'memMb': 'much'}},
            {'cap': 5},
            {'weight': 1.5},
            {'apiKeys': KEY},
        ):
            self._refusal({**tenant_text(CLUB, KEY), **more})

    def test_unknown_fields_are_ignored(self) -> None:
        """Other writers may add some."""
        text = tenants_text(
            tenant_text(CLUB, KEY, weight=7, later={'a': 1}, cap={'cpu': 900}),
        )
        workspaces = decode_manifest(text).workspaces or ()
        read = workspaces[0]
        self.assertThat(read.weight, matchers.Equals(7))
        self.assertThat(read.cap.millicores, matchers.Equals(900))


class TestSecrecy(testtools.TestCase):
    """API keys stay at the border."""

    def test_key_is_in_no_record(self) -> None:
        """Neither decoded manifests nor requests show one."""
        read = decode_manifest(tenants_text(tenant_text(CLUB, KEY)))
        shown = (
            repr(read.workspaces),
            repr(request('GET', _PATH, _MINE)),
        )
        for text in shown:
            self.assertThat(text, matchers.Not(matchers.Contains(KEY)))
