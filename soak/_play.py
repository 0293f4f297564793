"""Run one soak test: start processes, inject faults, check invariants."""

from __future__ import annotations

import asyncio
import collections
import contextlib
import dataclasses
import pathlib
import random
from collections.abc import Callable

from bench.relay import Link, Relay
from soak._callers import MAX_FAILURES, Callers
from soak._cores import CoreCluster
from soak._early_cancellers import EarlyCancellers
from soak._leavers import Leavers
from soak._other_writer import OtherWriter
from soak._plan import Fault, FaultEvent, draw_plan
from soak._promises import InvariantChecker
from soak._workers import Workers
from wigeonreach.gateway import Gateway
from wigeonreach.observe import Logger, Metrics

# Far above what a healthy run needs; only a run that hangs reaches it.
_DRAIN_TIMEOUT_S = 90.0
_LINK_DELAY_S = 0.15
_VMS = 6
_CALLERS = 3
_WORKERS_NAME = 'workers'


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The result of one run.

    Attributes
    ----------
    seed
        Seed of the run.
    violations
        Descriptions of violated invariants; empty if the run passed.
    counts
        Number of accepted jobs, runs and other observations by name.
    """

    seed: int
    violations: tuple[str, ...]
    counts: collections.Counter[str]


@dataclasses.dataclass(frozen=True, slots=True)
class RunConfig:
    """Size and length of a run.

    Attributes
    ----------
    losses
        Number of disks that may be lost; the run has as many voters as
        tolerating that takes.
    spares
        Number of core processes beyond the voters.
    length_s
        Time during which faults are injected, in seconds.
    """

    losses: int = 1
    spares: int = 0
    length_s: float = 15.0


class _SoakRun:
    """The processes, clients and fault schedule of one run."""

    def __init__(
        self, seed: int, config: RunConfig, folder: pathlib.Path
    ) -> None:
        self._plan = draw_plan(seed, config.length_s, config.losses)
        self._relay = Relay()
        count = 2 * config.losses + 1 + config.spares
        self._cores = CoreCluster(count, config.losses, folder, self._relay)
        self.checker = InvariantChecker(MAX_FAILURES)
        rng = random.Random(seed)  # noqa: S311
        self._gateways = [
            self._gateway(f'caller-{number}') for number in range(_CALLERS)
        ]
        worker_gateway = self._gateway(_WORKERS_NAME)
        self._workers = Workers(_VMS, worker_gateway, self.checker, rng)
        self._callers = Callers(self._gateways, self.checker, rng)
        writer_gateway = self._gateway('other-writer')
        # Generators of their own, so that they change no draw of the others.
        self._writer = OtherWriter(writer_gateway, random.Random(seed))  # noqa: S311
        self._leavers = Leavers(
            worker_gateway,
            self._workers,
            random.Random(seed),  # noqa: S311
        )
        self._early_cancellers = EarlyCancellers(
            tuple(self._gateways),
            self.checker,
            random.Random(seed),  # noqa: S311
        )
        self._gateways.extend((worker_gateway, writer_gateway))
        self._heal_tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Run to completion, then stop all processes."""
        try:
            await self._cores.start()
            for gateway in self._gateways:
                await gateway.start()
            await self._run_phases()
        finally:
            await self._tear_down()

    async def _tear_down(self) -> None:
        for gateway in self._gateways:
            await gateway.stop()
        await self._cores.kill_all()
        self._relay.close()

    async def _run_phases(self) -> None:
        await self._callers.put_first_manifest()
        working = asyncio.create_task(self._workers.run())
        writing = asyncio.create_task(self._writer.run(self._workers))
        calling = [
            asyncio.create_task(self._callers.run()),
            asyncio.create_task(self._early_cancellers.run()),
            asyncio.create_task(self._leavers.run()),
        ]
        await self._inject_faults()
        for called in calling:
            await _cancel(called)
        while self._heal_tasks:
            await asyncio.wait(self._heal_tasks)
        await self._cores.settle()
        self._relay.heal()
        await self._wait_for_ends()
        await _cancel(working)
        await _cancel(writing)
        self.checker.check_leftover_runs(self._workers.running())
        for core in self._cores.all:
            if core.unexpected_exits:
                violation = (
                    f'{core.folder.name}: '
                    f'ended by itself {core.unexpected_exits} times'
                )
                self.checker.violations.append(violation)

    async def _inject_faults(self) -> None:
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        for event in self._plan:
            await asyncio.sleep(began_s + event.at_s - loop.time())
            self._inject(event)

    async def _wait_for_ends(self) -> None:
        try:
            async with asyncio.timeout(_DRAIN_TIMEOUT_S):
                while self.checker.unfinished():
                    await self._callers.read_unfinished()
        except TimeoutError:
            left = self.checker.unfinished()
            self.checker.violations.append(f'jobs that never ended: {left}')

    def _inject(self, event: FaultEvent) -> None:
        core = self._cores.all[event.selector % len(self._cores.all)]
        handlers: dict[Fault, Callable[[], object]] = {
            Fault.KILL: lambda: self._cores.kill(core, event.duration_s),
            Fault.TERMINATE: lambda: self._cores.terminate(core),
            Fault.PAUSE: lambda: self._cores.pause(core, event.duration_s),
            Fault.KILL_ALL: self._kill_all,
            Fault.WIPE: lambda: self._cores.wipe(core),
            Fault.REPLACE: lambda: self._cores.replace(core),
            Fault.TORN_TAIL: lambda: self._cores.tear_journal(core),
            Fault.DISK_FULL: lambda: self._cores.fill_disk(
                core, event.duration_s
            ),
            Fault.WORKER_CRASH: lambda: self._workers.crash(event.selector),
        }
        handler = handlers.get(event.fault)
        if handler is None:
            self._inject_link_fault(event)
        else:
            handler()

    def _kill_all(self) -> None:
        for core in self._cores.all:
            self._cores.kill(core, 0)

    def _inject_link_fault(self, event: FaultEvent) -> None:
        names = [core.folder.name for core in self._cores.all]
        chosen = names[event.selector % len(names)]
        half = set(names[: len(names) // 2])
        link_filters: dict[Fault, Callable[[Link], bool]] = {
            Fault.CUT: lambda link: chosen in {link.source, link.target},
            Fault.CUT_IN: lambda link: chosen == link.target,
            Fault.CUT_OUT: lambda link: chosen == link.source,
            Fault.SPLIT: lambda link: (
                (link.source in half) != (link.target in half)
            ),
            Fault.DELAY: lambda link: chosen in {link.source, link.target},
            Fault.RESET: lambda link: chosen in {link.source, link.target},
            Fault.SILENCE: lambda link: chosen in {link.source, link.target},
            Fault.WORKERS_CUT: lambda link: link.source == _WORKERS_NAME,
        }
        is_chosen = link_filters[event.fault]
        if event.fault is Fault.RESET:
            self._relay.reset(is_chosen)
        elif event.fault is Fault.SILENCE:
            self._relay.silence(is_chosen)
        else:
            self._impair_links(event, is_chosen)

    def _impair_links(
        self, event: FaultEvent, is_chosen: Callable[[Link], bool]
    ) -> None:
        """Cut or delay links until the fault's duration has passed."""
        if event.fault is Fault.DELAY:
            self._relay.delay(is_chosen, _LINK_DELAY_S)
        elif event.fault in {Fault.CUT_IN, Fault.CUT_OUT}:
            self._relay.cut_forward(is_chosen)
        else:
            self._relay.cut(is_chosen)
        heal_task = asyncio.create_task(self._heal_after(event.duration_s))
        self._heal_tasks.add(heal_task)
        heal_task.add_done_callback(self._heal_tasks.discard)

    async def _heal_after(self, after_s: float) -> None:
        await asyncio.sleep(after_s)
        if len(self._heal_tasks) == 1:
            self._relay.heal()

    def _gateway(self, name: str) -> Gateway:
        return Gateway(name, self._cores.seeds, Logger(name), Metrics())


def run_soak(seed: int, config: RunConfig, folder: pathlib.Path) -> Outcome:
    """Run one soak test.

    Parameters
    ----------
    seed
        Seed of the fault schedule; the timing of the processes still differs
        between runs with the same seed.
    config
        Size and length of the run.
    folder
        Folder for data folders and logs, which are left there.

    Returns
    -------
    Outcome
        Violated invariants and counts of observations.
    """
    folder.mkdir(parents=True, exist_ok=True)
    run = _SoakRun(seed, config, folder)
    asyncio.run(run.run())
    checker = run.checker
    return Outcome(seed, tuple(checker.violations), checker.counts)


async def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task
