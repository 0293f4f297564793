"""Test that a text is parsed, or rejected with line and key."""

from __future__ import annotations

import testtools
from testtools.matchers import Contains, Equals

from tests.builders import SAMPLE_TEXT
from wigeonreach.codes import ResultCode
from wigeonreach.exceptions import FleetTextError
from wigeonreach.text import parse_fleet_text


class TestParseFleetText(testtools.TestCase):
    """Parsing of configuration texts."""

    def test_valid(self) -> None:
        """The services of a valid text are available by name."""
        text = parse_fleet_text(SAMPLE_TEXT)

        self.assertThat(
            text.services['portal'].depends_on,
            Equals(('records',)),
        )

    def test_syntax(self) -> None:
        """A text that is not valid TOML is rejected with the line."""
        self._assert_refused('[fleet]\nname =', ResultCode.TEXT_SYNTAX, 2)

    def test_unknown_key(self) -> None:
        """An unknown key is rejected and the allowed keys are listed."""
        error = self._assert_refused(
            '{0}color = "red"\n'.format(SAMPLE_TEXT),
            ResultCode.TEXT_UNKNOWN_KEY,
            10,
        )

        self.assertThat(error.detail, Contains('promised_slots'))

    def test_unknown_dependency(self) -> None:
        """A dependency on an unknown service is rejected."""
        self._assert_refused(
            SAMPLE_TEXT.replace('["records"]', '["record"]'),
            ResultCode.TEXT_UNKNOWN_REFERENCE,
            9,
        )

    def test_cycle(self) -> None:
        """Dependencies that form a cycle are rejected."""
        self._assert_refused(
            SAMPLE_TEXT.replace('["records"]', '["portal"]'),
            ResultCode.TEXT_DEPENDENCY_CYCLE,
            9,
        )

    def test_vm_in_two_pools(self) -> None:
        """A VM that is listed in two pools is rejected."""
        pools = '[pools.a]\nvms = ["x"]\n[pools.b]\nvms = ["x"]\n'
        self._assert_refused(
            SAMPLE_TEXT + pools,
            ResultCode.TEXT_VM_IN_TWO_POOLS,
            13,
        )

    def test_impossible_budget(self) -> None:
        """A budget longer than its window is rejected."""
        budget = '[services.portal.budget]\nmissing_s = 9\nwindow_s = 3\n'
        self._assert_refused(
            SAMPLE_TEXT + budget,
            ResultCode.TEXT_IMPOSSIBLE_BUDGET,
            11,
        )

    def _assert_refused(
        self,
        text: str,
        code: ResultCode,
        line: int,
    ) -> FleetTextError:
        error = self.assertRaises(FleetTextError, parse_fleet_text, text)
        self.assertThat(error.code, Equals(code))
        self.assertThat(error.detail, Contains(f'line {line}:'))
        return error
