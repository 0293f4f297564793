"""Test what is said of a new text before it is applied."""

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
        """Texts that mean the same differ in nothing."""
        text = build_fleet_text()

        self.assertThat(list(diff_texts(text, text)), Equals([]))

    def test_takeover(self) -> None:
        """Taking a service over names each VM that may be touched."""
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
    """Budgets that can't be kept."""

    def test_stricter_than_needed(self) -> None:
        """A service can't be missing for less than what it depends on."""
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
