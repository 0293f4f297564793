"""Tests of reading and validating a caller's request."""

from __future__ import annotations

import asyncio
from typing import Any

import testtools
from aiohttp.test_utils import make_mocked_request
from testtools.matchers import Equals

from tests.builders import SAMPLE_TEXT
from wigeonreach.codes import ResultCode
from wigeonreach.entry._request import CallerRequest
from wigeonreach.entry._request_reading import read_request
from wigeonreach.exceptions import RequestRefusedError
from wigeonreach.text import parse_fleet_text

_TEXT = f'{SAMPLE_TEXT}\n[teams.clinics]\nweight = 3.0\n'
_NOW_S = 100.0


class TestReadRequest(testtools.TestCase):
    """Validation before a request is dispatched."""

    def test_deadline_is_capped(self) -> None:
        """A caller may shorten the service's deadline, not lengthen it."""
        for requested, left_s in (('500', 0.5), ('90000', 2.0)):
            request = _read({'X-Deadline-Ms': requested})
            self.assertThat(request.due_s - _NOW_S, Equals(left_s))
        self.assertThat(_read({}).due_s - _NOW_S, Equals(2.0))

    def test_unknown_teams_share_one_class(self) -> None:
        """Invented team names gain no extra capacity."""
        known = _read({'X-Team': 'clinics'})
        self.assertThat((known.team, known.weight), Equals(('clinics', 3.0)))
        for name in ('invented', 'other'):
            request = _read({'X-Team': name})
            self.assertThat((request.team, request.weight), Equals(('', 1.0)))

    def test_path_keeps_escapes_and_query(self) -> None:
        """The target decodes the caller's path, not the entry."""
        request = _read({}, '/s/records/a%2Fb//c?q=%26&r')
        self.assertThat(request.path, Equals('/a%2Fb//c?q=%26&r'))

    def test_bad_headers_are_refused(self) -> None:
        """Each malformed header is named in its refusal."""
        for name, header in (
            ('X-Deadline-Ms', '-1'),
            ('X-Deadline-Ms', '1e3'),
            ('X-Deadline-Ms', '²'),
            ('X-Deadline-Ms', '9' * 12),
            ('X-Urgent', 'yes'),
            ('X-Team', 'a' * 64),
        ):
            refused = self.assertRaises(
                RequestRefusedError,
                _read,
                {name: header},
            )
            code = ResultCode.REQUEST_BAD_HEADER
            self.assertThat(refused.code, Equals(code))
            self.assertIn(name, refused.detail)


def _read(
    headers: dict[str, str],
    path: str = '/s/records/work',
) -> CallerRequest:
    options: dict[str, Any] = {'headers': headers}
    request = make_mocked_request('GET', path, **options)
    request.match_info['service'] = 'records'
    text = parse_fleet_text(_TEXT)
    return asyncio.run(read_request(request, text, _NOW_S))
