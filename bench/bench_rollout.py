"""Measure the time until a configuration change is in force everywhere."""

from __future__ import annotations

import asyncio
import datetime
import json
import pathlib
import shutil
import statistics
import time
from collections.abc import Iterable, Iterator, Sequence

from bench.cluster import Cluster, Process, Shape
from bench.config_texts import ChangeClient, members_of
from bench.figures import Figure, at_most, unbounded
from bench.relay import Relay
from bench.subscribers import SubscriberGroup

_NAME = 'rollout'
_FOLDER = pathlib.Path('run/rollout')
_SHAPE = Shape(
    zones=('a', 'b', 'c', 'd'),
    entries_per_zone=2,
    services=(),
    targets_per_service=0,
)
_CHANGES = 20
_SUBSCRIBERS = 100
_PAUSE_S = 0.3
_SETTLE_S = 2.0
_CUT_S = 4.0
_ROLLOUT_LIMIT_S = 7.0
_MS_PER_S = 1000
_IN_FORCE = 206
# Pushing must at least halve what polling once a second takes.
_MAX_POLLING_RATIO = 0.5


def run() -> Iterable[Figure]:
    """Measure eight entries and many subscribers, without and with a cut."""
    shutil.rmtree(_FOLDER, ignore_errors=True)
    relay = Relay()
    cluster = Cluster(_SHAPE, _FOLDER, relay)
    try:
        cluster.start()
        yield from asyncio.run(_measure(cluster, relay))
    finally:
        cluster.stop()
        relay.close()


async def _measure(cluster: Cluster, relay: Relay) -> list[Figure]:
    changer = ChangeClient(cluster, pools=5, vms_per_pool=8)
    await changer.change()
    await asyncio.to_thread(cluster.wait_until_ready)
    figures = list(await _quiet(cluster, changer))
    figures.extend(await _cut(cluster, changer, relay))
    return figures


async def _quiet(cluster: Cluster, changer: ChangeClient) -> Iterator[Figure]:
    pushed = SubscriberGroup(members_of(cluster), _SUBSCRIBERS, 'pushed')
    polling = SubscriberGroup(members_of(cluster), _SUBSCRIBERS, 'polling')
    pushed.start_following()
    polling.start_polling()
    await asyncio.sleep(_SETTLE_S)
    before = pushed.passed_bytes(), polling.passed_bytes()
    started_s = time.monotonic()
    sent_at_s: dict[int, float] = {}
    for _ in range(_CHANGES):
        sent_s = await changer.change()
        sent_at_s[changer.version] = sent_s
        await asyncio.sleep(_PAUSE_S)
    await asyncio.sleep(_SETTLE_S)
    length_s = time.monotonic() - started_s
    pushed_bytes = pushed.passed_bytes() - before[0]
    polled_bytes = polling.passed_bytes() - before[1]
    pushed.stop()
    polling.stop()
    return _quiet_figures(
        _entry_delays_s(cluster.entries, sent_at_s),
        pushed.delays_s(sent_at_s),
        polling.delays_s(sent_at_s),
        (pushed_bytes / length_s, polled_bytes / length_s),
    )


def _quiet_figures(
    entries_s: Sequence[float],
    pushed_s: Sequence[float],
    polled_s: Sequence[float],
    rates: tuple[float, float],
) -> Iterator[Figure]:
    polled = _spread_ms(polled_s)
    for who, delays_s in (('entries', entries_s), ('crowd', pushed_s)):
        for name, shown_ms in _spread_ms(delays_s).items():
            yield at_most(
                _NAME,
                f'{who}_{name}',
                shown_ms,
                'ms',
                polled[name] * _MAX_POLLING_RATIO,
                polled[name],
            )
    yield at_most(
        _NAME,
        'crowd_bytes',
        rates[0] / _SUBSCRIBERS,
        'bytes/s each',
        rates[1] / _SUBSCRIBERS,
        rates[1] / _SUBSCRIBERS,
    )


async def _cut(
    cluster: Cluster,
    changer: ChangeClient,
    relay: Relay,
) -> Iterator[Figure]:
    inside = {one.name for one in cluster.processes() if one.zone == 'd'}
    outside = {one.name for one in cluster.processes()} - inside
    relay.cut_between(inside, outside)
    await asyncio.sleep(_CUT_S / 2)
    sent_s = await changer.change()
    sent_at_s = {changer.version: sent_s}
    await asyncio.sleep(_CUT_S)
    connected = [one for one in cluster.entries if one.zone != 'd']
    cut_off = [one for one in cluster.entries if one.zone == 'd']
    connected_s = max(_entry_delays_s(connected, sent_at_s))
    assert not any(_holds(entry, changer.version) for entry in cut_off)
    relay.heal()
    healed_at_s = {changer.version: time.time()}
    while not all(_holds(entry, changer.version) for entry in cut_off):
        await asyncio.sleep(_PAUSE_S)
        assert time.time() - sent_s < 2 * _ROLLOUT_LIMIT_S, 'not healed in time'
    healed_s = max(_entry_delays_s(cut_off, healed_at_s))
    return iter(
        (
            unbounded(_NAME, 'cut_others_max', connected_s * _MS_PER_S, 'ms'),
            at_most(
                _NAME,
                'healed_share_of_promise',
                healed_s / _ROLLOUT_LIMIT_S,
                'ratio',
                1,
            ),
        ),
    )


def _holds(entry: Process, version: int) -> bool:
    return any(held >= version for held in _in_force_at_s(entry))


def _entry_delays_s(
    entries: Sequence[Process],
    sent_at_s: dict[int, float],
) -> list[float]:
    delays_s: list[float] = []
    for entry in entries:
        at_s = _in_force_at_s(entry)
        for version, sent_s in sent_at_s.items():
            reached_s = min(
                time_s for held, time_s in at_s.items() if held >= version
            )
            delays_s.append(reached_s - sent_s)
    return delays_s


def _in_force_at_s(entry: Process) -> dict[int, float]:
    """Return when an entry put each version in force, read from its log."""
    at_s: dict[int, float] = {}
    for line in pathlib.Path(entry.log.name).read_text().splitlines():
        if not line.startswith('{'):
            continue
        event = json.loads(line)
        if event.get('number') == _IN_FORCE:
            moment = datetime.datetime.fromisoformat(event['timestamp'])
            at_s[event['version']] = moment.timestamp()
    return at_s


def _spread_ms(delays_s: Sequence[float]) -> dict[str, float]:
    cuts = statistics.quantiles(delays_s, n=100)
    return {
        'p50': cuts[49] * _MS_PER_S,
        'p99': cuts[98] * _MS_PER_S,
        'max': max(delays_s) * _MS_PER_S,
    }
