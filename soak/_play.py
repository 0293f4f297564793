"""Play one run: start processes, disturb them, check the promises."""

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
from soak._cores import Cores
from soak._plan import Fault, Step, draw_plan
from soak._promises import Promises
from soak._workers import Workers
from wigeonreach.gateway import Gateway
from wigeonreach.observe import Logger, Metrics

# Far above what ends a healthy run; it only ends one that hangs.
_PATIENCE_S = 90.0
_SLOW_LINK_S = 0.15
_VMS = 6
_CALLERS = 3
_WORKERS_NAME = 'workers'


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What one run showed.

    Attributes
    ----------
    broken
        Promises that were broken; none if it passed.
    """

    seed: int
    broken: tuple[str, ...]
    counts: collections.Counter[str]


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """How large and long a run is.

    Attributes
    ----------
    losses
        Disks that may be lost; there are as many processes as that takes, and
        ``spares`` more.
    """

    losses: int = 1
    spares: int = 0
    length_s: float = 15.0


class _Play:
    """One run under way."""

    def __init__(self, seed: int, shape: Shape, folder: pathlib.Path) -> None:
        self._plan = draw_plan(seed, shape.length_s, shape.losses)
        self._relay = Relay()
        count = 2 * shape.losses + 1 + shape.spares
        self._cores = Cores(count, shape.losses, folder, self._relay)
        self.promises = Promises(MAX_FAILURES)
        rng = random.Random(seed)  # noqa: S311
        self._gateways = [
            self._gateway(f'caller-{number}') for number in range(_CALLERS)
        ]
        worker_gateway = self._gateway(_WORKERS_NAME)
        self._workers = Workers(_VMS, worker_gateway, self.promises, rng)
        self._callers = Callers(self._gateways, self.promises, rng)
        self._gateways.append(worker_gateway)
        self._heals: set[asyncio.Task[None]] = set()

    async def play(self) -> None:
        """Run it to its end; all processes are ended then."""
        try:
            await self._cores.start()
            for gateway in self._gateways:
                await gateway.start()
            await self._use_and_disturb()
        finally:
            await self._end()

    async def _end(self) -> None:
        for gateway in self._gateways:
            await gateway.stop()
        await self._cores.end()
        self._relay.close()

    async def _use_and_disturb(self) -> None:
        await self._callers.begin()
        working = asyncio.create_task(self._workers.run())
        calling = asyncio.create_task(self._callers.run())
        await self._disturb()
        await _cancel(calling)
        while self._heals:
            await asyncio.wait(self._heals)
        await self._cores.calm()
        self._relay.heal()
        await self._wait_for_ends()
        await _cancel(working)
        self.promises.check_rest(self._workers.running())
        for core in self._cores.all:
            if core.own_ends:
                what = (
                    f'{core.folder.name}: ended by itself {core.own_ends} times'
                )
                self.promises.broken.append(what)

    async def _disturb(self) -> None:
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        for step in self._plan:
            await asyncio.sleep(began_s + step.at_s - loop.time())
            self._strike(step)

    async def _wait_for_ends(self) -> None:
        try:
            async with asyncio.timeout(_PATIENCE_S):
                while self.promises.unfinished():
                    await self._callers.ask_all()
        except TimeoutError:
            left = self.promises.unfinished()
            self.promises.broken.append(f'jobs that never ended: {left}')

    def _strike(self, step: Step) -> None:
        core = self._cores.all[step.subject % len(self._cores.all)]
        strikes: dict[Fault, Callable[[], object]] = {
            Fault.KILL: lambda: self._cores.strike(core, step.for_s),
            Fault.TERMINATE: lambda: self._cores.terminate(core),
            Fault.PAUSE: lambda: self._cores.pause(core, step.for_s),
            Fault.KILL_ALL: self._kill_all,
            Fault.WIPE: lambda: self._cores.wipe(core),
            Fault.REPLACE: lambda: self._cores.replace(core),
            Fault.TORN_TAIL: lambda: self._cores.tear(core),
            Fault.DISK_FULL: lambda: self._cores.fill_disk(core, step.for_s),
            Fault.WORKER_CRASH: lambda: self._workers.crash(step.subject),
        }
        strike = strikes.get(step.fault)
        if strike is None:
            self._disturb_links(step)
        else:
            strike()

    def _kill_all(self) -> None:
        for core in self._cores.all:
            self._cores.strike(core, 0)

    def _disturb_links(self, step: Step) -> None:
        names = [core.folder.name for core in self._cores.all]
        chosen = names[step.subject % len(names)]
        half = set(names[: len(names) // 2])
        is_near: dict[Fault, Callable[[Link], bool]] = {
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
        is_chosen = is_near[step.fault]
        if step.fault is Fault.RESET:
            self._relay.reset(is_chosen)
        elif step.fault is Fault.SILENCE:
            self._relay.silence(is_chosen)
        else:
            self._hold(step, is_chosen)

    def _hold(self, step: Step, is_chosen: Callable[[Link], bool]) -> None:
        """Cut or delay links for a while."""
        if step.fault is Fault.DELAY:
            self._relay.delay(is_chosen, _SLOW_LINK_S)
        elif step.fault in {Fault.CUT_IN, Fault.CUT_OUT}:
            self._relay.cut_forward(is_chosen)
        else:
            self._relay.cut(is_chosen)
        heal = asyncio.create_task(self._heal(step.for_s))
        self._heals.add(heal)
        heal.add_done_callback(self._heals.discard)

    async def _heal(self, after_s: float) -> None:
        await asyncio.sleep(after_s)
        if len(self._heals) == 1:
            self._relay.heal()

    def _gateway(self, name: str) -> Gateway:
        return Gateway(name, self._cores.seeds, Logger(name), Metrics())


def play(seed: int, shape: Shape, folder: pathlib.Path) -> Outcome:
    """Play one run.

    Parameters
    ----------
    seed
        Of its plan; what processes do in between differs from run to run.
    shape
        How large and long it is.
    folder
        Where disks and logs are left.

    Returns
    -------
    Outcome
        What was broken, and how much was asked for.
    """
    folder.mkdir(parents=True, exist_ok=True)
    run = _Play(seed, shape, folder)
    asyncio.run(run.play())
    promises = run.promises
    return Outcome(seed, tuple(promises.broken), promises.counts)


async def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task
