"""Model of the replicated state under a faulty network and paused processes."""

from __future__ import annotations

import dataclasses

import msgspec
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from wigeonreach.rollout._copy import make_copy
from wigeonreach.rollout._follower import Follower, SourceMessage
from wigeonreach.state._feed import TextFeed
from wigeonreach.state._holding import Fence, Holding
from wigeonreach.state._machine import Machine
from wigeonreach.wire._command_messages import (
    Action,
    ChangeText,
    Command,
    ConfirmRelease,
    GrantVm,
    ReleaseVm,
    RenewVm,
    Reply,
)
from wigeonreach.wire._rollout_messages import ConfigBeat

_POOLS = ('desk', 'portal')
_VMS = ('vm-1', 'vm-2')
_LEASE_S = 10.0
_REPLIES = msgspec.msgpack.Decoder(Reply)
_pools = st.sampled_from(_POOLS)
_vms = st.sampled_from(_VMS)
_any = st.integers(min_value=0, max_value=1000)


@dataclasses.dataclass
class _PausedAction:
    """An action on a VM by a process that was paused after its lease check."""

    vm: str
    token: int


@dataclasses.dataclass
class _Network:
    """Commands sent, the log, delayed replies, messages and paused actions."""

    log: list[bytes] = dataclasses.field(default_factory=list)
    sent: list[Command] = dataclasses.field(default_factory=list)
    delayed_replies: list[tuple[Command, Reply]] = dataclasses.field(
        default_factory=list,
    )
    pushed: list[SourceMessage] = dataclasses.field(default_factory=list)
    paused_actions: list[_PausedAction] = dataclasses.field(
        default_factory=list
    )


class StateModel(RuleBasedStateMachine):
    """Two pools and an operator share one log, and a follower reads it.

    Commands are delivered late, twice and out of order; the follower reads
    from a replica that lags.  Subclasses inject one bug each.
    """

    machine_type: type[Machine] = Machine
    follower_type: type[Follower] = Follower
    fence_type: type[Fence] = Fence
    counts_lease_from_reply = False

    @initialize()
    def begin(self) -> None:
        """Start with an empty log."""
        self.net = _Network()
        self.leader = self.machine_type()
        self.lagging = Machine()
        self.feed = TextFeed()
        self.follower = self.follower_type()
        self.fence = self.fence_type()
        self.now_s = 100.0
        self.first_replies: dict[str, Reply] = {}
        self.holdings: dict[tuple[str, str], Holding] = {}
        self.texts = {0: ''}
        self.admitted: dict[str, int] = {}
        self.lagging_applied = 0
        self.confirmed_s = 0.0
        self.accepted_at_s = {0: 0.0}
        self.highest_token = 0
        self.learned: set[int] = set()

    @rule(seconds=st.sampled_from((1.0, 11.0)))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.now_s += seconds

    @rule(base_back=st.integers(0, 1), word=st.sampled_from('abc'))
    def change(self, base_back: int, word: str) -> None:
        """An operator sends a change, sometimes based on an old version."""
        version = self.leader.state.accepted.version
        base = max(0, version - base_back)
        self._send(ChangeText(base, f'[{word}]\nx = {len(self.net.sent)}\n'))

    @rule(vm=_vms, pool=_pools, is_late=st.booleans())
    def grant(self, vm: str, pool: str, is_late: bool) -> None:
        """A manager requests a VM for a pool."""
        self._send(GrantVm(vm, pool, _LEASE_S), is_late)

    @rule(
        vm=_vms,
        pool=_pools,
        confirms=st.booleans(),
        is_late=st.booleans(),
    )
    def move(
        self,
        vm: str,
        pool: str,
        confirms: bool,
        is_late: bool,
    ) -> None:
        """A manager moves a VM, with or without its pool's confirmation."""
        self.release(vm)
        if confirms:
            for owner in _POOLS:
                self.confirm(vm, owner)
        self._send(GrantVm(vm, pool, _LEASE_S), is_late)

    @rule(vm=_vms)
    def release(self, vm: str) -> None:
        """A manager starts the release of a VM."""
        record = self.leader.state.vms.get(vm)
        if record is not None:
            self._send(ReleaseVm(vm, record.token))

    @rule(number=_any, is_late=st.booleans())
    def renew(self, number: int, is_late: bool) -> None:
        """A pool renews its lease."""
        if self.holdings:
            (vm, _), holding = self._choose_holding(number)
            self._send(RenewVm(vm, holding.token, _LEASE_S), is_late)

    @rule(vm=_vms, pool=_pools)
    def confirm(self, vm: str, pool: str) -> None:
        """A pool stops using a VM and then confirms the release."""
        holding = self.holdings.pop((vm, pool), None)
        if holding is not None:
            self._send(ConfirmRelease(vm, holding.token))

    @rule(number=_any)
    def resend(self, number: int) -> None:
        """The network delivers an earlier command again."""
        if self.net.sent:
            self._deliver(self.net.sent[number % len(self.net.sent)])

    @rule(number=_any)
    def learn(self, number: int) -> None:
        """A delayed reply arrives."""
        if self.net.delayed_replies:
            self._learn(
                *self.net.delayed_replies.pop(
                    number % len(self.net.delayed_replies)
                )
            )

    @rule(number=_any)
    def check_then_pause(self, number: int) -> None:
        """A process checks its lease and is paused before it acts."""
        if not self.holdings:
            return
        (vm, _), holding = self._choose_holding(number)
        if holding.may_act(self.now_s):
            self.net.paused_actions.append(_PausedAction(vm, holding.token))

    @rule(number=_any)
    def act_late(self, number: int) -> None:
        """A paused process resumes and acts."""
        if not self.net.paused_actions:
            return
        action = self.net.paused_actions.pop(
            number % len(self.net.paused_actions)
        )
        if self.fence.admit(action.vm, action.token):
            assert action.token >= self.admitted.get(action.vm, 0), (
                'older owner acts'
            )

    @rule()
    def restart_leader(self) -> None:
        """A replica restarts from its snapshot."""
        restarted = self.machine_type()
        restarted.restore(self.leader.snapshot())
        self.leader = restarted

    @rule(steps=st.integers(1, 3))
    def replicate(self, steps: int) -> None:
        """The replica that the follower reads from applies some commands."""
        until = self.lagging_applied + steps
        for command in self.net.log[self.lagging_applied : until]:
            self.lagging_applied += 1
            self.lagging.apply(self.lagging_applied, command)
        held = self.follower.held
        newest = self.feed.newest(self.lagging.state)
        delta = self.feed.delta_from(
            self.lagging.state,
            held.version,
            held.checksum,
        )
        if delta is not None:
            self.net.pushed.append(delta)
        if self.lagging_applied == len(self.net.log):
            self.confirmed_s = self.now_s
        self.net.pushed.append(
            ConfigBeat(
                newest.version,
                newest.checksum,
                self.now_s - self.confirmed_s,
                self.now_s,
            ),
        )

    @rule(number=_any)
    def follow(self, number: int) -> None:
        """The follower receives any message sent so far, possibly an old one."""
        if not self.net.pushed:
            return
        before = self.follower.held.version
        message = self.net.pushed[number % len(self.net.pushed)]
        for effect in self.follower.on_message(message, self.now_s):
            need = getattr(effect, 'need', None)
            if need is not None:
                sections = self.feed.missing_sections(self.lagging.state, need)
                self.net.pushed.append(sections)
        assert self.follower.held.version >= before, 'a version reverted'

    @invariant()
    def one_pool(self) -> None:
        """No two pools may act on a VM at the same time."""
        for vm in _VMS:
            acting = [
                pool
                for pool in _POOLS
                if (vm, pool) in self.holdings
                and self.holdings[vm, pool].may_act(self.now_s)
            ]
            assert len(acting) <= 1, f'{vm} belongs to {acting}'

    @invariant()
    def confirmed_is_newest(self) -> None:
        """The held version was the newest at the time called confirmed."""
        age_s = self.follower.confirmed_age_s(self.now_s)
        newest = max(
            version
            for version, at_s in self.accepted_at_s.items()
            if version == 0 or at_s < self.now_s - age_s
        )
        assert self.follower.held.version >= newest, 'believed a late beat'

    @invariant()
    def followed_text(self) -> None:
        """The follower holds the text that was accepted as its version."""
        held = self.follower.held
        assert held == make_copy(held.version, self.texts[held.version])

    @rule()
    def catch_up(self) -> None:
        """The follower receives everything, in order."""
        self.replicate(len(self.net.log))
        for _ in range(3):
            self.follow(len(self.net.pushed) - 1)

    def _choose_holding(self, number: int) -> tuple[tuple[str, str], Holding]:
        return list(self.holdings.items())[number % len(self.holdings)]

    def _send(self, action: Action, is_late: bool = False) -> None:
        command = Command(
            f'c-{len(self.net.sent)}',
            self.leader.state.revision,
            'amina',
            self.now_s,
            action,
        )
        self.net.sent.append(command)
        self._deliver(command, is_late)

    def _deliver(self, command: Command, is_late: bool = False) -> None:
        encoded = msgspec.msgpack.encode(command)
        self.net.log.append(encoded)
        before = self.leader.state.accepted.version
        reply = _REPLIES.decode(self.leader.apply(len(self.net.log), encoded))
        accepted = self.leader.state.accepted
        assert before <= accepted.version <= before + 1, 'a version reverted'
        self.texts.setdefault(accepted.version, accepted.text)
        self.accepted_at_s.setdefault(accepted.version, self.now_s)
        if isinstance(command.action, GrantVm) and not reply.code:
            self._check_token(command, reply.token)
        if not isinstance(command.action, RenewVm):
            first = self.first_replies.setdefault(command.command_id, reply)
            assert reply == first, 'a resend was applied again'
        if reply.code:
            return
        if is_late:
            self.net.delayed_replies.append((command, reply))
        else:
            self._learn(command, reply)

    def _learn(self, command: Command, reply: Reply) -> None:
        asked_s = self.now_s if self.counts_lease_from_reply else command.at_s
        match command.action:
            case GrantVm(vm=vm, pool=pool) if reply.token not in self.learned:
                self.learned.add(reply.token)
                self.holdings[vm, pool] = Holding(
                    reply.token,
                    asked_s,
                    _LEASE_S,
                )
                # The new owner shows its token before it uses the VM.
                self.fence.admit(vm, reply.token)
                shown = max(reply.token, self.admitted.get(vm, 0))
                self.admitted[vm] = shown
            case RenewVm(vm=renewed, token=token):
                self._learn_renewed(renewed, token, asked_s)

    def _learn_renewed(self, vm: str, token: int, asked_s: float) -> None:
        for (held, pool), holding in self.holdings.items():
            if (held, holding.token) == (vm, token):
                later_s = max(asked_s, holding.asked_s)
                self.holdings[held, pool] = holding.renewed(later_s)

    def _check_token(self, command: Command, token: int) -> None:
        if command.command_id not in self.first_replies:
            assert token > self.highest_token, 'a token did not rise'
            self.highest_token = token
