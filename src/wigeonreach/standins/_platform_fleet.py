"""Simulated VMs and tasks of the platform's stand-in."""

from __future__ import annotations

import dataclasses
import os
import pathlib
import time
from typing import Any

import msgspec

from wigeonreach.provider import (
    ActionKind,
    TaskAction,
    TaskView,
    VmAction,
    VmPhase,
    VmView,
)

_SLOTS = 8
_PROCESSORS = 16.0
_MEMORY_BYTES = 32 * 1024**3


class ActionLine(msgspec.Struct, frozen=True):
    """One line of the action log: what actually happened to a VM."""

    at_s: float
    vm: str
    zone: str
    what: str
    action_id: str
    fencing_token: int
    job_id: str = ''


class Timing(msgspec.Struct, frozen=True):
    """Durations of actions and tasks, in seconds."""

    drain_s: float
    reboot_s: float
    check_s: float
    task_s: float = 1.0


class FencedError(Exception):
    """The action has a lower fencing token than one seen before."""


class Fleet:
    """All VMs; the action log survives when the process is killed.

    Parameters
    ----------
    vms
        Initial state of the VMs.
    timing
        Durations of drains, reboots, checks and tasks.
    bad_images
        VMs that are never healthy after a reboot.
    log_path
        Action log: one ``ActionLine`` per line, as JSON.
    """

    def __init__(
        self,
        vms: list[VmView],
        timing: Timing,
        bad_images: frozenset[str],
        log_path: pathlib.Path,
    ) -> None:
        """Open the action log."""
        self._vms = {vm.name: vm for vm in vms}
        self._timing = timing
        self._bad_images = bad_images
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self._log_fd = os.open(log_path, flags, 0o600)
        self._changed = dict.fromkeys(self._vms, 1)
        self._revision = 1
        self._tokens: dict[str, int] = {}
        self._seen_actions: set[str] = set()
        self._scheduled: list[tuple[float, str, ActionKind]] = []
        self._tasks: dict[str, TaskView] = {}

    def page(self, after: int) -> tuple[int, list[VmView]]:
        """Return the current revision and the VMs changed after another."""
        self.advance()
        changed = [
            self._with_tasks(self._vms[name])
            for name, revision in self._changed.items()
            if revision > after
        ]
        return self._revision, changed

    def tasks(self, worker: str) -> list[TaskView]:
        """Return the tasks of one worker."""
        self.advance()
        return [task for task in self._tasks.values() if task.worker == worker]

    def act(self, action: VmAction) -> None:
        """Start an action; resends of it have no effect.

        Raises
        ------
        FencedError
            If the token is lower than one seen for the VM.
        """
        self.advance()
        self._check_token(action.vm, action.fencing_token)
        done = f'{action.kind}/{action.action_id}'
        if done in self._seen_actions:
            return
        self._seen_actions.add(done)
        self._log_vm(action.vm, action.kind, action)
        self._start_action(action)

    def act_on_task(self, action: TaskAction) -> None:
        """Start or stop a task under a lease; running tasks ignore the rest.

        Raises
        ------
        FencedError
            If the token is lower than one seen for the job.
        """
        self._check_token(f'job/{action.job_id}', action.lease_token)
        known = self._tasks.get(action.job_id)
        if known and known.lease_token == action.lease_token:
            if action.kind is ActionKind.STOP:
                self._end_task(known, 'stopped')
            return
        # A stop that arrives before its start leaves a record that the task
        # never ran, so that the late start is ignored.
        is_start = action.kind is ActionKind.START
        if is_start:
            self._log_task_start(action)
        self._tasks[action.job_id] = TaskView(
            action.job_id,
            action.worker,
            action.lease_token,
            'running' if is_start else 'never',
            0,
            0,
            time.time(),
        )

    def advance(self) -> None:
        """Finish the actions and tasks that are due."""
        now_s = time.monotonic()
        due = [entry for entry in self._scheduled if entry[0] <= now_s]
        self._scheduled = [
            entry for entry in self._scheduled if entry[0] > now_s
        ]
        for _, name, kind in sorted(due):
            self._finish_action(name, kind)
        for task in tuple(self._tasks.values()):
            age_s = time.time() - task.measured_at_s
            if task.state == 'running' and age_s > self._timing.task_s:
                self._end_task(task, 'finished')

    def _start_action(self, action: VmAction) -> None:
        name = action.vm
        match action.kind:
            case ActionKind.DRAIN:
                self._update(
                    name,
                    action.action_id,
                    phase=VmPhase.DRAINING,
                    in_flight=3,
                    open_checkpoints=1,
                    is_healthy=None,
                )
                self._schedule(self._timing.drain_s, action)
            case ActionKind.REBOOT:
                self._update(name, action.action_id, phase=VmPhase.REBOOTING)
                self._stop_tasks(name)
                self._schedule(self._timing.reboot_s, action)
            case ActionKind.CHECK:
                self._update(name, action.action_id)
                self._schedule(self._timing.check_s, action)
            case _:
                self._update(
                    name,
                    action.action_id,
                    phase=VmPhase.SERVING,
                    in_flight=0,
                    open_checkpoints=0,
                )

    def _finish_action(self, name: str, kind: ActionKind) -> None:
        vm = self._vms[name]
        if kind is ActionKind.DRAIN and vm.phase is VmPhase.DRAINING:
            self._update(name, vm.action_id, in_flight=0, open_checkpoints=0)
        elif kind is ActionKind.REBOOT and vm.phase is VmPhase.REBOOTING:
            self._log_vm(name, 'booted', None)
            self._update(name, vm.action_id, phase=VmPhase.BOOTED)
        elif kind is ActionKind.CHECK and vm.phase is VmPhase.BOOTED:
            is_healthy = name not in self._bad_images
            self._update(name, vm.action_id, is_healthy=is_healthy)

    def _with_tasks(self, vm: VmView) -> VmView:
        running = sum(
            task.worker == vm.name and task.state == 'running'
            for task in self._tasks.values()
        )
        return dataclasses.replace(vm, in_flight=vm.in_flight + running)

    def _stop_tasks(self, worker: str) -> None:
        for task in self.tasks(worker):
            if task.state == 'running':
                self._end_task(task, 'stopped')

    def _end_task(self, task: TaskView, state: str) -> None:
        self._tasks[task.job_id] = dataclasses.replace(task, state=state)
        # The VM's number of tasks in flight, which a drain shows, has changed.
        self._revision += 1
        self._changed[task.worker] = self._revision

    def _log_task_start(self, action: TaskAction) -> None:
        line = ActionLine(
            at_s=time.monotonic(),
            vm=action.worker,
            zone=self._vms[action.worker].zone,
            what='task-start',
            action_id=action.action_id,
            fencing_token=action.lease_token,
            job_id=action.job_id,
        )
        os.write(self._log_fd, b'%b\n' % msgspec.json.encode(line))

    def _schedule(self, delay_s: float, action: VmAction) -> None:
        at_s = time.monotonic() + delay_s
        self._scheduled.append((at_s, action.vm, action.kind))

    def _update(self, name: str, action_id: str, **changes: Any) -> None:
        self._vms[name] = dataclasses.replace(
            self._vms[name],
            action_id=action_id,
            **changes,
        )
        self._revision += 1
        self._changed[name] = self._revision

    def _check_token(self, subject: str, token: int) -> None:
        if token < self._tokens.get(subject, 0):
            raise FencedError(subject)
        self._tokens[subject] = token

    def _log_vm(self, name: str, what: str, action: VmAction | None) -> None:
        line = ActionLine(
            at_s=time.monotonic(),
            vm=name,
            zone=self._vms[name].zone,
            what=str(what),
            action_id=action.action_id if action else '',
            fencing_token=action.fencing_token if action else 0,
        )
        os.write(self._log_fd, b'%b\n' % msgspec.json.encode(line))


def read_action_log(path: pathlib.Path) -> list[ActionLine]:
    """Return all lines of an action log in the order written."""
    return msgspec.json.Decoder(ActionLine).decode_lines(path.read_bytes())


def new_vms(zones: list[str], per_zone: int, per_rack: int) -> list[VmView]:
    """Return serving VMs, spread over zones and racks."""
    return [
        VmView(
            name=f'{zone}-vm-{number}',
            zone=zone,
            rack=f'{zone}-rack-{number // per_rack}',
            phase=VmPhase.SERVING,
            slots=_SLOTS,
            processors=_PROCESSORS,
            memory_bytes=_MEMORY_BYTES,
            accelerators=0,
            in_flight=0,
            open_checkpoints=0,
            action_id='',
            is_healthy=None,
        )
        for zone in zones
        for number in range(per_zone)
    ]
