"""Test how a follower handles messages and faults of its source."""

from __future__ import annotations

import testtools
from testtools.matchers import Equals, GreaterThan, HasLength, LessThan

from tests.builders import SAMPLE_TEXT
from tests.builders_state import apply_command, build_command
from wigeonreach.rollout._copy import make_copy
from wigeonreach.rollout._follower import (
    Effect,
    Follower,
    Hold,
    RequestSections,
    SourceFault,
)
from wigeonreach.state._feed import TextFeed
from wigeonreach.state._machine import Machine
from wigeonreach.wire._command_messages import ChangeText
from wigeonreach.wire._rollout_messages import ConfigBeat, ConfigNeed


class TestFollower(testtools.TestCase):
    """A follower of a replica that has accepted three versions."""

    def setUp(self) -> None:
        """Accept three texts."""
        super().setUp()
        self.machine = Machine()
        self.feed = TextFeed()
        self.follower = Follower()
        self.texts = [f'{SAMPLE_TEXT}# {number}\n' for number in range(3)]
        for base, text in enumerate(self.texts):
            apply_command(
                self.machine,
                build_command(ChangeText(base, text), f'c-{base}'),
            )
        self.newest = self.feed.newest(self.machine.state)

    def beat(
        self,
        age_s: float,
        now_s: float,
        held_up_s: float = 0,
    ) -> tuple[Effect, ...]:
        """Receive a heartbeat for the newest version."""
        beat = ConfigBeat(
            self.newest.version,
            self.newest.checksum,
            age_s,
            now_s - held_up_s,
        )
        return self.follower.on_message(beat, now_s)

    def test_delta(self) -> None:
        """A delta carries only what changed."""
        old = make_copy(1, self.texts[0])
        self.follower.held = old

        delta = self.feed.delta_from(self.machine.state, 1, old.checksum)
        assert delta is not None
        effects = self.follower.on_message(delta, 0)

        self.assertThat(delta.edits, HasLength(1))
        self.assertThat(effects, Equals((Hold(self.newest),)))

    def test_other_text(self) -> None:
        """A follower with a damaged copy gets the sections that differ."""
        self.follower.held = make_copy(2, f'{SAMPLE_TEXT}# damaged\n')

        effect = self.beat(0, 0)[0]
        assert isinstance(effect, RequestSections)
        sections = self.feed.missing_sections(self.machine.state, effect.need)
        held = self.follower.on_message(sections, 0)

        whole = self.feed.missing_sections(
            self.machine.state, ConfigNeed(0, ())
        )
        self.assertThat(held, Equals((Hold(self.newest),)))
        self.assertThat(len(sections.packed), LessThan(len(whole.packed)))

    def test_older(self) -> None:
        """A source that is behind changes nothing and soon counts as faulty."""
        self.follower.held = make_copy(4, SAMPLE_TEXT)
        self.follower.choose_source(now_s=0)

        effects = [self.beat(0, now_s) for now_s in (1.0, 2.1)]

        self.assertThat(effects, Equals([(), ()]))
        self.assertThat(
            self.follower.source_fault(2.1),
            Equals(SourceFault.BEHIND),
        )
        self.assertThat(
            self.follower.confirmed_age_s(2.1),
            GreaterThan(1_000_000),
        )

    def test_cut_off_source(self) -> None:
        """A source without a quorum confirms nothing, though it sends."""
        self.follower.held = self.newest
        self.follower.choose_source(now_s=0)
        for now_s in range(1, 5):
            self.beat(age_s=now_s + 9, now_s=now_s)

        self.assertThat(
            self.follower.source_fault(4),
            Equals(SourceFault.UNCONFIRMED),
        )
        self.assertThat(self.follower.confirmed_age_s(4), Equals(13))

    def test_held_up(self) -> None:
        """A delayed heartbeat confirms only what was true when it was sent."""
        self.follower.held = self.newest
        self.follower.choose_source(now_s=0)

        self.beat(age_s=1, now_s=600, held_up_s=580)

        self.assertThat(self.follower.confirmed_age_s(600), Equals(581))

    def test_silent_source(self) -> None:
        """A silent source counts as faulty, though its connection is open."""
        self.follower.choose_source(now_s=0)
        self.beat(0, now_s=1)

        self.assertThat(self.follower.source_fault(3.4), Equals(None))
        self.assertThat(
            self.follower.source_fault(3.6),
            Equals(SourceFault.SILENT),
        )
