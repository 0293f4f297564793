"""Run soak tests for given seeds, or random seeds for some minutes."""

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

from soak._play import Outcome, RunConfig, run_soak
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
    """Inject random faults into core processes and check invariants."""
    chosen: Iterable[int] = list(_parse_seeds(seeds))
    if regressions:
        chosen = [*chosen, *_regression_seeds()]
    if minutes:
        chosen = _fresh_seeds(minutes * _S_PER_MIN)
    config = RunConfig(losses, spares, length_s)
    work = functools.partial(_run_one, config=config, folder=folder)
    failed = 0
    passed = 0
    for outcome in _run_all(work, chosen, at_once):
        _print_outcome(outcome)
        failed += bool(outcome.violations)
        passed += not outcome.violations
    typer.echo(f'{passed} passed, {failed} failed')
    raise typer.Exit(1 if failed else 0)


def _run_all(
    work: functools.partial[Outcome],
    seeds: Iterable[int],
    at_once: int,
) -> Iterator[Outcome]:
    """Run seeds in parallel, at most ``at_once``, each in its own process."""
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


def _run_one(seed: int, config: RunConfig, folder: pathlib.Path) -> Outcome:
    own = folder / f'{seed}'
    shutil.rmtree(own, ignore_errors=True)
    own.mkdir(parents=True)
    configure_logs(LogFormat.JSON, LogLevel.ERROR)
    outcome = run_soak(seed, config, own.absolute())
    if not outcome.violations:
        shutil.rmtree(own)
    return outcome


def _print_outcome(outcome: Outcome) -> None:
    counted = sorted(outcome.counts.items())
    counts = ', '.join(f'{name} {number}' for name, number in counted)
    word = 'FAILED' if outcome.violations else 'passed'
    typer.echo(f'seed {outcome.seed}: {word}; {counts}')
    for violation in outcome.violations:
        typer.echo(f'    {violation}')


def _parse_seeds(seeds: str) -> Iterator[int]:
    for part in filter(None, seeds.split(',')):
        first, _, last = part.partition('-')
        yield from range(int(first), int(last or first) + 1)


def _regression_seeds() -> Iterator[int]:
    for line in _REGRESSIONS.read_text().splitlines():
        if line and not line.startswith('#'):
            yield int(line.split()[0])


def _fresh_seeds(length_s: float) -> Iterator[int]:
    until_s = time.monotonic() + length_s
    while time.monotonic() < until_s:
        yield random.randrange(_SEEDS_BELOW)  # noqa: S311


if __name__ == '__main__':
    typer.run(main)
