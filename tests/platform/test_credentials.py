"""Test which clients may call, from the HTTP request to the response."""

from __future__ import annotations

import json

import testtools
from testtools import matchers

from tests.builders_core import CoreCluster, run_cluster
from tests.builders_platform import JOB_ID, submitted_job
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

_PATH = f'/a/{JOB_ID}'
_BODY = json.dumps(submitted_job()).encode()
_OWN_TOKEN = f'Token {KEY}'
_OTHER_TOKEN = f'Token {OTHER_KEY}'
_BOTH_TENANTS = (tenant_text(CLUB, KEY), tenant_text(OTHER_CLUB, OTHER_KEY))


class _ClientHarness:
    """Client requests to an entry in front of three core processes."""

    def __init__(self, cluster: CoreCluster) -> None:
        self._cluster = cluster
        self._api = ClientApi(cluster.gateway, Logger('entry'), Metrics())

    async def put(self, *tenants: dict[str, object], version: int) -> None:
        """Replace the manifest in force."""
        text = tenants_text(*tenants, version=version)
        await self._cluster.call(PutManifest(decode_manifest(text)))

    async def status(self, method: str, authorization: str = '') -> int:
        """Return the HTTP status of the response to a call."""
        body = _BODY if method == 'POST' else b''
        reply = await self._api.handle(
            request(method, _PATH, authorization, body),
        )
        return reply.status


class TestCalls(testtools.TestCase):
    """Calls with and without a credential."""

    def test_unknown_key_is_refused(self) -> None:
        """Calls without a key of the manifest get 401 and take no effect."""

        async def body(cluster: CoreCluster) -> None:
            client = _ClientHarness(cluster)
            await client.put(*_BOTH_TENANTS, version=3)
            for header in ('', f'Token {STRANGE_KEY}', KEY, f'Bearer {KEY}'):
                for method in ('POST', 'GET', 'DELETE'):
                    status = await client.status(method, header)
                    self.assertThat(status, matchers.Equals(401))
            status = await client.status('GET', _OWN_TOKEN)
            self.assertThat(status, matchers.Equals(410))

        run_cluster(body)

    def test_key_is_valid_while_in_the_manifest(self) -> None:
        """A new manifest adds and revokes keys immediately."""

        async def body(cluster: CoreCluster) -> None:
            client = _ClientHarness(cluster)
            await client.put(tenant_text(OTHER_CLUB, OTHER_KEY), version=3)
            before = await client.status('POST', _OWN_TOKEN)
            self.assertThat(before, matchers.Equals(401))
            await client.put(*_BOTH_TENANTS, version=4)
            for method in ('POST', 'GET'):
                status = await client.status(method, _OWN_TOKEN)
                self.assertThat(status, matchers.Equals(200))
            await client.put(tenant_text(CLUB, 'new-key'), version=5)
            for revoked in ('POST', 'GET', 'DELETE'):
                status = await client.status(revoked, _OWN_TOKEN)
                self.assertThat(status, matchers.Equals(401))
            status = await client.status('GET', 'token new-key')
            self.assertThat(status, matchers.Equals(200))

        run_cluster(body)

    def test_job_of_another_workspace(self) -> None:
        """It can't be read, cancelled or submitted again."""

        async def body(cluster: CoreCluster) -> None:
            client = _ClientHarness(cluster)
            await client.put(*_BOTH_TENANTS, version=3)
            await client.status('POST', _OWN_TOKEN)
            for method in ('POST', 'GET', 'DELETE'):
                status = await client.status(method, _OTHER_TOKEN)
                self.assertThat(status, matchers.Equals(403))
            for own in ('POST', 'GET', 'DELETE'):
                status = await client.status(own, _OWN_TOKEN)
                self.assertThat(status, matchers.Equals(200))

        run_cluster(body)

    def test_manifest_without_workspaces_needs_no_key(self) -> None:
        """Unless the platform's rules on workspaces are in force."""
        text = json.loads(tenants_text())
        text.pop('tenants')
        bare = json.dumps(text).encode()
        self.assertThat(decode_manifest(bare).workspaces, matchers.Is(None))
        self.assertThat(
            decode_manifest(bare, requires_credentials=True).workspaces,
            matchers.Equals(()),
        )


class TestWorkspacesOfManifests(testtools.TestCase):
    """Decoding and validation of the workspaces in a manifest."""

    def _refusal(self, *tenants: dict[str, object]) -> FleetTextError:
        return self.assertRaises(
            FleetTextError,
            decode_manifest,
            tenants_text(*tenants),
        )

    def test_key_of_two_workspaces(self) -> None:
        """The error names the workspace, but does not show the key."""
        error = self._refusal(
            tenant_text(CLUB, KEY),
            tenant_text(OTHER_CLUB, OTHER_KEY, KEY),
        )
        self.assertThat(error.code, matchers.Equals(ResultCode.TEXT_BAD_VALUE))
        self.assertThat(error.detail, matchers.Contains(OTHER_CLUB))
        self.assertThat(error.detail, matchers.Not(matchers.Contains(KEY)))

    def test_repeated_names_and_keys(self) -> None:
        """Names of workspaces, and keys of one workspace, must be unique."""
        for tenants in (
            (tenant_text(CLUB, KEY, KEY),),
            (tenant_text(CLUB, KEY), tenant_text(CLUB, OTHER_KEY)),
        ):
            error = self._refusal(*tenants)
            self.assertThat(error.detail, matchers.Contains(CLUB))

    def test_invalid_caps_weights_and_keys(self) -> None:
        """Caps and weights must be non-negative integers, keys a list."""
        for more in (
            {'cap': {'cpu': -1}},
            {'cap': {'memMb': 'much'}},
            {'cap': 5},
            {'weight': 1.5},
            {'apiKeys': KEY},
        ):
            self._refusal({**tenant_text(CLUB, KEY), **more})

    def test_unknown_fields_are_ignored(self) -> None:
        """Other programs that write manifests may add fields."""
        text = tenants_text(
            tenant_text(CLUB, KEY, weight=7, later={'a': 1}, cap={'cpu': 900}),
        )
        workspaces = decode_manifest(text).workspaces or ()
        workspace = workspaces[0]
        self.assertThat(workspace.weight, matchers.Equals(7))
        self.assertThat(workspace.cap.millicores, matchers.Equals(900))


class TestSecrecy(testtools.TestCase):
    """API keys are not kept beyond the decoder."""

    def test_key_is_not_in_any_repr(self) -> None:
        """Neither a decoded manifest nor a request shows a key."""
        manifest = decode_manifest(tenants_text(tenant_text(CLUB, KEY)))
        shown = (
            repr(manifest.workspaces),
            repr(request('GET', _PATH, _OWN_TOKEN)),
        )
        for text in shown:
            self.assertThat(text, matchers.Not(matchers.Contains(KEY)))
