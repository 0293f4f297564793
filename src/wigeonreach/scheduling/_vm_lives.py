"""Tell which incarnations of workers are heard on each VM, and which goes on."""

from __future__ import annotations

from collections.abc import Iterator

from wigeonreach.scheduling._incarnation import (
    SUCCESSOR_PROVEN_S,
    Incarnation,
)
from wigeonreach.wire._worker_messages import (
    WorkerReport,
    tells_start,
    worker_id_of,
)


class VmLives:
    """The incarnations that are followed, by VM.

    A VM has one worker at a time: of several incarnations there, all but one
    are over.
    """

    def __init__(self) -> None:
        """Know no VM."""
        self._by_vm: dict[str, dict[str, Incarnation]] = {}
        self._shared: set[str] = set()

    def add(self, incarnation: Incarnation) -> None:
        """Take an incarnation in, if it tells its VM."""
        report = incarnation.report
        if not report.vm:
            return
        on_vm = self._by_vm.setdefault(report.vm, {})
        on_vm[report.worker] = incarnation
        if len(on_vm) > 1:
            self._shared.add(report.vm)

    def remove(self, incarnation: Incarnation) -> None:
        """Drop an incarnation from the VM that it told last."""
        report = incarnation.report
        on_vm = self._by_vm.get(report.vm, {})
        on_vm.pop(report.worker, None)
        if len(on_vm) < 2:  # noqa: WPS432 - one is alone
            self._shared.discard(report.vm)
        if not on_vm:
            self._by_vm.pop(report.vm, None)

    def is_known(self, vm: str) -> bool:
        """Whether any incarnation is followed on a VM."""
        return vm in self._by_vm

    def newest(self, vm: str) -> Incarnation | None:
        """Return the newest incarnation on a VM."""
        return max(
            self._by_vm.get(vm, {}).values(),
            key=lambda incarnation: incarnation.first_heard_s,
            default=None,
        )

    def sharing(self) -> Iterator[str]:
        """Yield the incarnations whose VM has another one."""
        for vm in self._shared:
            yield from self._by_vm[vm]

    def doubt_rivals(self, newcomer: Incarnation, now_s: float) -> None:
        """Let incarnations that are heard on one VM prove which of them goes on.

        The newcomer may be the one that is over: to a new leader a late heartbeat
        of a life that has ended looks like the first one of the next.
        """
        on_vm = self._by_vm.get(newcomer.report.vm, {})
        rivals = [
            rival for rival in on_vm.values() if not rival.is_silent(now_s)
        ]
        if rivals:
            newcomer.doubted_s = now_s
        for rival in rivals:
            rival.doubted_s = now_s

    def has_successor(self, incarnation: Incarnation) -> bool:
        """Whether another incarnation goes on at its VM while it is silent."""
        return any(
            other is not incarnation
            and other.heard_s - SUCCESSOR_PROVEN_S
            > max(other.first_heard_s, incarnation.heard_s)
            for other in self._by_vm.get(incarnation.report.vm, {}).values()
        )

    def is_nameless(self, report: WorkerReport) -> bool:
        """Whether it lacks the start that others of its worker's id told.

        Nothing tells which of its worker's lives such a heartbeat is of.
        """
        return not tells_start(report.worker) and any(
            tells_start(name) and worker_id_of(name) == report.worker
            for name in self._by_vm.get(report.vm, ())
        )
