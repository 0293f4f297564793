"""Test the differences between texts, and the checks of budgets."""

from __future__ import annotations

import testtools
from testtools.matchers import Contains, Equals

from tests.builders_fleet import FLEET_TEXT, build_fleet_text
from wigeonreach.codes import ResultCode
from wigeonreach.exceptions import FleetTextError
from wigeonreach.text import diff_texts, parse_fleet_text

_WATCHED = FLEET_TEXT.replace(
    'promised_slots = 40',
    'promised_slots = 30\nmode = "watched"',
)


class TestDiffTexts(testtools.TestCase):
    """Differences between two texts."""

    def test_same(self) -> None:
        """Equal texts have no differences."""
        text = build_fleet_text()

        self.assertThat(list(diff_texts(text, text)), Equals([]))

    def test_takeover(self) -> None:
        """Setting a service to managed lists each VM that becomes managed."""
        before = build_fleet_text(_WATCHED)
        lines = [
            change.line() for change in diff_texts(before, build_fleet_text())
        ]

        self.assertThat(
            lines,
            Equals(
                [
                    'services.desk.mode: watched -> managed',
                    'services.desk.promised_slots: 30 -> 40',
                    'services.desk: taken-over VMs: a0, b0, c0, a1, b1, c1',
                ],
            ),
        )


class TestBudgetChecks(testtools.TestCase):
    """Budgets that can't be met."""

    def test_stricter_than_dependency(self) -> None:
        """A budget can't be stricter than that of a dependency."""
        strict = (
            '[services.front]\ndepends_on = ["desk"]\n'
            '[services.front.budget]\nmissing_s = 60\n'
        )
        error = self.assertRaises(
            FleetTextError,
            parse_fleet_text,
            FLEET_TEXT + strict,
        )

        self.assertThat(error.code, Equals(ResultCode.TEXT_IMPOSSIBLE_BUDGET))
        self.assertThat(error.detail, Contains('line 21:'))
