"""Track which incarnations of workers are heard on each VM."""

from __future__ import annotations

from collections.abc import Iterator

from wigeonreach.scheduling._incarnation import (
    PROVEN_ALIVE_S,
    Incarnation,
)
from wigeonreach.wire._worker_messages import (
    WorkerReport,
    tells_start,
    worker_id_of,
)


class VmIncarnations:
    """The tracked incarnations, by VM.

    A VM has one worker at a time: of several incarnations on a VM, all but one
    have ended.
    """

    def __init__(self) -> None:
        """Start without any VM."""
        self._by_vm: dict[str, dict[str, Incarnation]] = {}
        self._shared_vms: set[str] = set()

    def add(self, incarnation: Incarnation) -> None:
        """Add an incarnation, if it reports its VM."""
        report = incarnation.report
        if not report.vm:
            return
        on_vm = self._by_vm.setdefault(report.vm, {})
        on_vm[report.worker] = incarnation
        if len(on_vm) > 1:
            self._shared_vms.add(report.vm)

    def remove(self, incarnation: Incarnation) -> None:
        """Remove an incarnation from the VM that it last reported."""
        report = incarnation.report
        on_vm = self._by_vm.get(report.vm, {})
        on_vm.pop(report.worker, None)
        if len(on_vm) < 2:  # noqa: WPS432 - the VM is no longer shared
            self._shared_vms.discard(report.vm)
        if not on_vm:
            self._by_vm.pop(report.vm, None)

    def is_known(self, vm: str) -> bool:
        """Whether any incarnation is tracked on a VM."""
        return vm in self._by_vm

    def newest(self, vm: str) -> Incarnation | None:
        """Return the newest incarnation on a VM."""
        return max(
            self._by_vm.get(vm, {}).values(),
            key=lambda incarnation: incarnation.first_heard_s,
            default=None,
        )

    def on_shared_vms(self) -> Iterator[str]:
        """Yield the names of incarnations whose VM has another one."""
        for vm in self._shared_vms:
            yield from self._by_vm[vm]

    def mark_rivals_unproven(self, newcomer: Incarnation, now_s: float) -> None:
        """Mark a newcomer and the incarnations heard on its VM as unproven.

        Any of them may be the one that has ended: to a new leader, a late
        heartbeat of an ended incarnation looks like the first one of its
        successor.  If all others on the VM are silent, none is marked.
        """
        on_vm = self._by_vm.get(newcomer.report.vm, {})
        rivals = [
            rival for rival in on_vm.values() if not rival.is_silent(now_s)
        ]
        if rivals:
            newcomer.unproven_since_s = now_s
        for rival in rivals:
            rival.unproven_since_s = now_s

    def has_successor(self, incarnation: Incarnation) -> bool:
        """Whether another incarnation is alive on its VM while it is silent."""
        return any(
            other is not incarnation
            and other.heard_s - PROVEN_ALIVE_S
            > max(other.first_heard_s, incarnation.heard_s)
            for other in self._by_vm.get(incarnation.report.vm, {}).values()
        )

    def lacks_start_time(self, report: WorkerReport) -> bool:
        """Whether a report lacks the start time that others of its id include.

        Such a heartbeat can't be attributed to an incarnation of its worker.
        """
        return not tells_start(report.worker) and any(
            tells_start(name) and worker_id_of(name) == report.worker
            for name in self._by_vm.get(report.vm, ())
        )
