"""Run a small zone under load while targets leave and processes fail."""

from __future__ import annotations

import asyncio
import dataclasses
import pathlib
import shutil
import signal
from collections.abc import Awaitable, Callable, Sequence

from bench.cluster import Cluster, Process, Shape
from bench.load import Call, Load
from bench.relay import Relay
from wigeonreach.standins._run_log import RunKind, RunLine, read_run_log

SERVICE = 'records'
_TEXT = 'examples/fleet.toml'
_RATE_PER_S = 120.0
_SETTLE_S = 1.5
#: Announcements and leases are so long that lease expiry alone detects
#: nothing in time; with 2,000 targets per zone they are even longer.
ANNOUNCE_S = 3.0
LEASE_S = 12.0
LONG_LEASES = (
    '--announce-s',
    str(ANNOUNCE_S),
    '--lease-s',
    str(LEASE_S),
)
#: Baseline policy: a record is trusted until its lease expires.
LEASES_ALONE = ('--contact-limit-s', '3600')
ZONE = Shape(
    zones=('a',),
    entries_per_zone=3,
    services=(SERVICE,),
    targets_per_service=4,
    target_options=LONG_LEASES,
)


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneUnderTest:
    """A running zone and the relay that all its links go through."""

    cluster: Cluster
    relay: Relay

    def cut_off_except(self, target: Process, notified: Process) -> None:
        """Cut a target off from every entry but one."""
        others = {
            entry.name
            for entry in self.cluster.entries
            if entry is not notified
        }
        self.relay.cut(
            lambda link: link.source == target.name and link.target in others,
        )

    def isolate(self, entry: Process) -> None:
        """Cut an entry off from the other entries, both ways."""
        others = {other.name for other in self.cluster.entries}
        self.relay.cut_between({entry.name}, others - {entry.name})

    def mute(self, entry: Process) -> None:
        """Hold back what an entry sends to the others, not the reverse."""
        for other in self.cluster.entries:
            if other is not entry:
                self.relay.cut_one_way(entry.name, other.name)


@dataclasses.dataclass(frozen=True, slots=True)
class LoadResult:
    """The calls that callers made and the runs that targets logged."""

    calls: list[Call]
    runs: list[RunLine]

    def last_new_work_s(self, target_id: str) -> float:
        """Return how long after leaving a target still got new work.

        Returns
        -------
        float
            Seconds; 0 if it got none.

        Raises
        ------
        LookupError
            If the target never left.
        """
        lines = [run for run in self.runs if run.target_id == target_id]
        left = [run for run in lines if run.kind is RunKind.LEAVING]
        if not left:
            raise LookupError(target_id)
        late_s = (
            run.at_s - left[0].at_s
            for run in lines
            if run.kind is RunKind.START
            and run.process_id == left[0].process_id
        )
        return max(0.0, *late_s)

    def work_of(self, target_id: str) -> list[RunLine]:
        """Return each run that a target started."""
        return [
            run
            for run in self.runs
            if run.target_id == target_id and run.kind is RunKind.START
        ]


FaultScript = Callable[[ZoneUnderTest], Awaitable[None]]


def run_under_load(
    folder: pathlib.Path,
    disturb: FaultScript,
    length_s: float,
    shape: Shape = ZONE,
    rate_per_s: float = _RATE_PER_S,
) -> LoadResult:
    """Run a zone under load while injecting faults.

    Parameters
    ----------
    folder
        Where logs go; it is emptied first.
    disturb
        Coroutine that injects faults while load is driven.
    length_s
        How long load is driven, in seconds.
    shape
        Size and options of the zone.
    rate_per_s
        Requests per second, spread evenly over all entries.
    """
    shutil.rmtree(folder, ignore_errors=True)
    relay = Relay()
    cluster = Cluster(shape, folder, relay)
    try:
        cluster.start()
        _apply(cluster)
        cluster.wait_until_ready()
        calls = asyncio.run(
            _drive(
                ZoneUnderTest(cluster, relay), disturb, length_s, rate_per_s
            ),
        )
    finally:
        cluster.stop()
        relay.close()
    return LoadResult(calls, read_run_log(cluster.run_log))


def leave(targets: Sequence[Process]) -> None:
    """Tell targets to leave."""
    for target in targets:
        target.send(signal.SIGTERM)


def _apply(cluster: Cluster) -> None:
    applied = cluster.command_line('apply', _TEXT)
    if applied.returncode:
        raise RuntimeError(applied.stderr)


async def _drive(
    stage: ZoneUnderTest,
    disturb: FaultScript,
    length_s: float,
    rate_per_s: float,
) -> list[Call]:
    await asyncio.sleep(_SETTLE_S)
    cluster = stage.cluster
    load = Load(cluster.entries, cluster.shape.services, rate_per_s)
    disturbing = asyncio.ensure_future(disturb(stage))
    calls = await load.run(length_s)
    await disturbing
    return calls
