"""Play runs by their seeds, or fresh ones for some minutes."""

from __future__ import annotations

import functools
import pathlib
import random
import shutil
import time
from collections.abc import Iterable, Iterator
from concurrent import futures
from typing import Annotated

import typer

from soak._play import Outcome, Shape, play
from wigeonreach.observe import LogFormat, LogLevel, configure_logs

_S_PER_MIN = 60
_SEEDS_BELOW = 1_000_000
_FOLDER = pathlib.Path('run/soak')
_REGRESSIONS = pathlib.Path(__file__).parent / 'regressions.txt'


def main(
    seeds: Annotated[
        str,
        typer.Option(help='FIRST-LAST or a list with commas.'),
    ] = '',
    minutes: Annotated[
        float,
        typer.Option(min=0, help='Play fresh seeds for so long.'),
    ] = 0,
    regressions: Annotated[
        bool,
        typer.Option(help='Play each seed that ever failed.'),
    ] = False,
    at_once: Annotated[int, typer.Option(min=1, help='Runs at once.')] = 2,
    losses: Annotated[
        int,
        typer.Option(min=0, help='Disks that may be lost.'),
    ] = 1,
    spares: Annotated[
        int,
        typer.Option(min=0, help='Core processes beyond the voters.'),
    ] = 0,
    length_s: Annotated[
        float,
        typer.Option(min=1, help='How long faults begin in a run.'),
    ] = 15.0,
    folder: Annotated[
        pathlib.Path,
        typer.Option(help='Where logs of failed runs stay.'),
    ] = _FOLDER,
) -> None:
    """Disturb core processes at random and check what they promise."""
    chosen: Iterable[int] = list(_parse(seeds))
    if regressions:
        chosen = [*chosen, *_failed_once()]
    if minutes:
        chosen = _fresh(minutes * _S_PER_MIN)
    shape = Shape(losses, spares, length_s)
    work = functools.partial(_play_one, shape=shape, folder=folder)
    failed = 0
    passed = 0
    for outcome in _play_all(work, chosen, at_once):
        _tell(outcome)
        failed += bool(outcome.broken)
        passed += not outcome.broken
    typer.echo(f'{passed} passed, {failed} failed')
    raise typer.Exit(1 if failed else 0)


def _play_all(
    work: functools.partial[Outcome],
    seeds: Iterable[int],
    at_once: int,
) -> Iterator[Outcome]:
    """Play as many runs at once as allowed, in processes of their own."""
    waiting: set[futures.Future[Outcome]] = set()
    with futures.ProcessPoolExecutor(at_once) as pool:
        for seed in seeds:
            waiting.add(pool.submit(work, seed))
            if len(waiting) >= at_once:
                done, waiting = futures.wait(
                    waiting,
                    return_when=futures.FIRST_COMPLETED,
                )
                yield from (future.result() for future in done)
        for last in futures.as_completed(waiting):
            yield last.result()


def _play_one(seed: int, shape: Shape, folder: pathlib.Path) -> Outcome:
    own = folder / f'{seed}'
    shutil.rmtree(own, ignore_errors=True)
    own.mkdir(parents=True)
    configure_logs(LogFormat.JSON, LogLevel.ERROR)
    outcome = play(seed, shape, own.absolute())
    if not outcome.broken:
        shutil.rmtree(own)
    return outcome


def _tell(outcome: Outcome) -> None:
    counted = sorted(outcome.counts.items())
    counts = ', '.join(f'{name} {number}' for name, number in counted)
    word = 'FAILED' if outcome.broken else 'passed'
    typer.echo(f'seed {outcome.seed}: {word}; {counts}')
    for broken in outcome.broken:
        typer.echo(f'    {broken}')


def _parse(seeds: str) -> Iterator[int]:
    for part in filter(None, seeds.split(',')):
        first, _, last = part.partition('-')
        yield from range(int(first), int(last or first) + 1)


def _failed_once() -> Iterator[int]:
    for line in _REGRESSIONS.read_text().splitlines():
        if line and not line.startswith('#'):
            yield int(line.split()[0])


def _fresh(length_s: float) -> Iterator[int]:
    until_s = time.monotonic() + length_s
    while time.monotonic() < until_s:
        yield random.randrange(_SEEDS_BELOW)  # noqa: S311


if __name__ == '__main__':
    typer.run(main)
