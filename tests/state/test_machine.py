"""Test the effects of committed commands on the replicated state."""

from __future__ import annotations

import msgspec
import testtools
from testtools.matchers import Contains, Equals, LessThan, MatchesStructure

from tests.builders import SAMPLE_TEXT
from tests.builders_state import apply_command, build_command
from wigeonreach.codes import ResultCode
from wigeonreach.rollout import LineEdit
from wigeonreach.state._machine import Machine
from wigeonreach.state._machine_state import Limits
from wigeonreach.state._machine_texts import as_edits
from wigeonreach.state._ownership import next_step
from wigeonreach.wire._command_messages import (
    AcquireLease,
    Action,
    ChangeText,
    ConfirmRelease,
    EditText,
    GrantVm,
    RecordWave,
    ReleaseVm,
    RenewLease,
    Reply,
    RestoreText,
    StartWave,
    SteerWave,
)
from wigeonreach.wire._state_messages import (
    AcceptedText,
    History,
    ReadAccepted,
    ReadHistory,
)

_LARGER = SAMPLE_TEXT.replace('slots = 4', 'slots = 8')


class _MachineTest(testtools.TestCase):
    def setUp(self) -> None:
        super().setUp()
        self.machine = Machine(Limits(history=4, results=4))
        self._made = 0

    def do(self, action: Action, at_s: float = 0) -> Reply:
        """Apply an action as a new command."""
        self._made += 1
        command = build_command(
            action,
            f'c-{self._made}',
            self.machine.state.revision,
            at_s,
        )
        return apply_command(self.machine, command)


class TestTexts(_MachineTest):
    """Changes of the configuration text."""

    def test_edits(self) -> None:
        """A change that is stored as edits gives the requested text."""
        self.do(ChangeText(0, SAMPLE_TEXT))
        edits = as_edits(ChangeText(1, _LARGER), self.machine.state.accepted)

        reply = self.do(edits)

        self.assertThat(reply.version, Equals(2))
        self.assertThat(self.machine.state.accepted.text, Equals(_LARGER))
        self.assertThat(len(msgspec.msgpack.encode(edits)), LessThan(60))

    def test_edits_outdated(self) -> None:
        """Edits of a text that was replaced in the meantime are refused."""
        self.do(ChangeText(0, SAMPLE_TEXT))
        edits = as_edits(ChangeText(1, _LARGER), self.machine.state.accepted)
        self.do(ChangeText(1, '# Replaced.\n'))

        reply = self.do(edits)

        self.assertThat(reply.code, Equals(ResultCode.STATE_CONFLICT))

    def test_edits_damaged(self) -> None:
        """Edits whose result does not match the checksum are refused."""
        self.do(ChangeText(0, SAMPLE_TEXT))

        reply = self.do(EditText(1, (LineEdit(0, 1, ('x\n',)),), checksum=7))

        self.assertThat(reply.code, Equals(ResultCode.STATE_DAMAGED))
        self.assertThat(self.machine.state.accepted.text, Equals(SAMPLE_TEXT))

    def test_equal_numbers(self) -> None:
        """Of two changes of one version, one wins; the other gets a conflict."""
        self.do(ChangeText(0, SAMPLE_TEXT))

        winner = self.do(ChangeText(1, _LARGER))
        loser = self.do(ChangeText(1, SAMPLE_TEXT))

        self.assertThat(winner.version, Equals(2))
        self.assertThat(loser.code, Equals(ResultCode.STATE_CONFLICT))
        self.assertThat(
            loser.detail,
            Contains(
                'services.records: -promised_slots = 4; +promised_slots = 8',
            ),
        )
        self.assertThat(
            self.machine.query(ReadAccepted()),
            Equals(AcceptedText(2, _LARGER)),
        )

    def test_resend_after_restart(self) -> None:
        """A resend gets the first reply, even from a restored snapshot."""
        command = build_command(ChangeText(0, SAMPLE_TEXT), 'resent')
        first = apply_command(self.machine, command)
        self.do(ChangeText(1, _LARGER))
        restarted = Machine()
        restarted.restore(self.machine.snapshot())

        self.assertThat(apply_command(restarted, command), Equals(first))
        self.assertThat(restarted.state.accepted.version, Equals(2))

    def test_resend_too_old(self) -> None:
        """A resend whose first reply may have been dropped is not applied."""
        restore = build_command(StartWave('w', b''), 'resent')
        apply_command(self.machine, restore)
        for number in range(4):
            self.do(StartWave(f'other-{number}', b''))
        self.machine.state.waves.clear()

        reply = apply_command(self.machine, restore)

        self.assertThat(reply.code, Equals(ResultCode.STATE_RESULT_FORGOTTEN))
        self.assertThat(self.machine.state.waves, Equals({}))

    def test_restore(self) -> None:
        """A past text is restored as a new version; a dropped one is not."""
        self.do(ChangeText(0, SAMPLE_TEXT))
        for base in range(1, 4):
            self.do(ChangeText(base, f'{_LARGER}# {base}\n'))

        reply = self.do(RestoreText(4, 1))
        text = self.machine.query(ReadAccepted())
        gone = self.do(RestoreText(5, 0))

        self.assertThat(reply.version, Equals(5))
        self.assertThat(text, Equals(AcceptedText(5, SAMPLE_TEXT)))
        self.assertThat(gone.code, Equals(ResultCode.STATE_UNKNOWN_VERSION))
        newest = self.machine.query(ReadHistory(1))
        assert isinstance(newest, History)
        self.assertThat(
            newest.entries[0],
            MatchesStructure.byEquality(version=5, author='amina'),
        )
        self.assertThat(newest.entries[0].summary, Contains('restores'))

    def test_malformed(self) -> None:
        """Malformed bytes are refused and leave the state usable."""
        self.machine.apply(1, b'\xc1')

        self.assertThat(self.do(ChangeText(0, '')).version, Equals(1))


class TestWaves(_MachineTest):
    """Maintenance waves."""

    def test_two_managers(self) -> None:
        """Of two managers that read the same record, one records progress."""
        self.do(StartWave('w', b'0'))

        codes = [
            self.do(RecordWave('w', 1, body)).code for body in (b'1', b'2')
        ]

        self.assertThat(codes, Equals([0, ResultCode.STATE_RECORD_CHANGED]))
        self.assertThat(self.machine.state.waves['w'].body, Equals(b'1'))

    def test_paused_between(self) -> None:
        """A manager can't record after it lost its lease or missed a pause."""
        self.do(StartWave('w', b''))
        old = self.do(AcquireLease('zone-a', 'm-1', 5), at_s=10)
        new = self.do(AcquireLease('zone-a', 'm-2', 5), at_s=15)
        self.do(SteerWave('w', 'pause'))

        late = self.do(RecordWave('w', 2, b'', '', 'zone-a', old.token))
        unread = self.do(RecordWave('w', 1, b'', '', 'zone-a', new.token))
        finish = self.do(RecordWave('w', 2, b'', 'finish'))

        self.assertThat(late.code, Equals(ResultCode.STATE_NOT_HELD))
        self.assertThat(unread.code, Equals(ResultCode.STATE_RECORD_CHANGED))
        self.assertThat(finish.code, Equals(ResultCode.STATE_NOT_ALLOWED))


class TestOwnership(_MachineTest):
    """VMs that move between pools."""

    def test_move(self) -> None:
        """A VM moves only after confirmation or the end of the lease."""
        first = self.do(GrantVm('vm-1', 'desk', 10), at_s=0)
        early = self.do(GrantVm('vm-1', 'portal', 10), at_s=20)
        self.do(ReleaseVm('vm-1', first.token))
        second = self.do(GrantVm('vm-1', 'portal', 10), at_s=20)
        late = self.do(ConfirmRelease('vm-1', first.token))

        self.assertThat(early.code, Equals(ResultCode.STATE_NOT_ALLOWED))
        self.assertThat(second.token, Equals(first.token + 1))
        self.assertThat(late.code, Equals(ResultCode.STATE_NOT_HELD))
        self.assertThat(self.machine.state.vms['vm-1'].pool, Equals('portal'))

    def test_steps_of_move(self) -> None:
        """A move requests the release, waits, grants, and is then complete."""
        wanted = GrantVm('vm-1', 'portal', 10)
        self.do(GrantVm('vm-1', 'desk', 10), at_s=0)
        asked = next_step(self.machine.state.vms['vm-1'], wanted, 1)
        assert asked is not None
        self.do(asked, at_s=1)
        releasing = self.machine.state.vms['vm-1']
        self.do(wanted, at_s=10)

        self.assertThat(asked, Equals(ReleaseVm('vm-1', releasing.token)))
        self.assertThat(next_step(releasing, wanted, 9), Equals(None))
        self.assertThat(next_step(releasing, wanted, 10), Equals(wanted))
        self.assertThat(
            next_step(self.machine.state.vms['vm-1'], wanted, 10),
            Equals(None),
        )

    def test_named_lease(self) -> None:
        """Only the newest token renews a lease, and only before it expires."""
        first = self.do(AcquireLease('zone-a', 'm-1', 5), at_s=10)
        other = self.do(AcquireLease('zone-a', 'm-2', 5), at_s=14)
        again = self.do(AcquireLease('zone-a', 'm-1', 5), at_s=14)
        stale = self.do(RenewLease('zone-a', 'm-1', first.token, 5), at_s=15)
        late = self.do(RenewLease('zone-a', 'm-1', again.token, 5), at_s=19)

        self.assertThat(other.code, Equals(ResultCode.STATE_NOT_HELD))
        self.assertThat(again.token, Equals(first.token + 1))
        self.assertThat(stale.code, Equals(ResultCode.STATE_NOT_HELD))
        self.assertThat(late.code, Equals(ResultCode.STATE_NOT_HELD))
