"""Test that no order of events violates the invariants of the state."""

from __future__ import annotations

import dataclasses
import types

import msgspec
import testtools
from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis.stateful import run_state_machine_as_test
from testtools.matchers import Contains

from tests.state.model import StateModel
from wigeonreach.rollout._copy import TextCopy
from wigeonreach.rollout._follower import Effect, Follower, Hold, SourceMessage
from wigeonreach.state import _machine_vms
from wigeonreach.state._holding import Fence
from wigeonreach.state._machine import Machine
from wigeonreach.state._machine_state import ResultTable
from wigeonreach.wire._rollout_messages import ConfigBeat, ConfigSections

_SETTINGS = settings(
    max_examples=150,
    stateful_step_count=60,
    database=None,
    deadline=None,
    derandomize=False,
    phases=(Phase.generate,),
    suppress_health_check=list(HealthCheck),
    print_blob=False,
)
# A run with an injected bug ends as soon as the bug is found.
_SETTINGS_UNTIL_FOUND = settings(_SETTINGS, max_examples=2000)


class _ForgetsResults(Machine):
    """Loses the table of results on a restore."""

    def restore(self, snapshot: bytes) -> None:
        super().restore(snapshot)
        self.state.results = ResultTable()


class _ForgetsTokens(Machine):
    """Loses the newest token on a restore."""

    def restore(self, snapshot: bytes) -> None:
        super().restore(snapshot)
        self.state.vm_token = 0


class _TakesAnyVersion(Follower):
    """Installs whatever arrives last, even an older version."""

    def on_message(
        self,
        message: SourceMessage,
        now_s: float,
    ) -> tuple[Effect, ...]:
        if isinstance(message, ConfigSections):
            self.held = TextCopy(0, '', self.held.checksum)
        effects = super().on_message(message, now_s)
        for effect in effects:
            if isinstance(effect, Hold):
                self.held = effect.copy
        return effects


class _TrustsArrival(Follower):
    """Dates a confirmation by the arrival of the heartbeat."""

    def on_message(
        self,
        message: SourceMessage,
        now_s: float,
    ) -> tuple[Effect, ...]:
        if isinstance(message, ConfigBeat):
            message = msgspec.structs.replace(message, echo_s=now_s)
        return super().on_message(message, now_s)


class _AdmitsAll(Fence):
    """Admits every token."""

    def admit(self, vm: str, token: int) -> bool:
        return True


class TestModel(testtools.TestCase):
    """The model, without bugs and with one injected bug at a time."""

    def run_model(
        self,
        settings_used: settings,
        **planted: object,
    ) -> None:
        """Run the model with the given attributes replaced."""
        model = types.new_class(
            'Planted',
            (StateModel,),
            exec_body=lambda namespace: namespace.update(planted),
        )
        seed(20)(model)
        run_state_machine_as_test(model, settings=settings_used)

    def check_finds(self, message: str, **planted: object) -> None:
        """Check that an injected bug fails the model with a message."""
        error = self.assertRaises(
            AssertionError,
            self.run_model,
            _SETTINGS_UNTIL_FOUND,
            **planted,
        )
        self.assertThat(str(error), Contains(message))

    def test_sound(self) -> None:
        """No order of events violates an invariant."""
        self.run_model(_SETTINGS)

    def test_results_lost(self) -> None:
        """A restore without the results is found: a resend is reapplied."""
        self.check_finds('applied again', machine_type=_ForgetsResults)

    def test_tokens_lost(self) -> None:
        """A restore without the newest token is found."""
        self.check_finds('did not rise', machine_type=_ForgetsTokens)

    def test_version_back(self) -> None:
        """A follower that installs an older copy is found."""
        self.check_finds('reverted', follower_type=_TakesAnyVersion)

    def test_late_beat(self) -> None:
        """A follower that trusts a delayed heartbeat is found."""
        self.check_finds('late beat', follower_type=_TrustsArrival)

    def test_no_fence(self) -> None:
        """A paused process that acts after a newer owner did is found."""
        self.check_finds('older owner', fence_type=_AdmitsAll)

    def test_lease_counted_late(self) -> None:
        """A holder that measures its lease from the reply is found."""
        self.check_finds('belongs to', counts_lease_from_reply=True)

    def test_grant_too_early(self) -> None:
        """A grant before the release is confirmed or has expired is found."""
        chart = _machine_vms.CHART
        hasty = dataclasses.replace(
            chart,
            targets={**chart.targets, ('releasing', 'grant'): 'owned'},
        )
        self.patch(_machine_vms, 'CHART', hasty)
        self.check_finds('belongs to')
