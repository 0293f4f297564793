"""Measure the cost of changing, copying and reading a configuration text."""

from __future__ import annotations

import dataclasses
import itertools
import statistics
import time
from collections.abc import Callable

import msgspec

from bench.config_texts import build_text
from wigeonreach.rollout import find_edits, split_lines
from wigeonreach.rollout._copy import (
    follow_delta,
    make_copy,
    missing_sections,
)
from wigeonreach.state._machine import Machine
from wigeonreach.text import TextReader, parse_fleet_text
from wigeonreach.wire._command_messages import ChangeText, Command
from wigeonreach.wire._rollout_messages import ConfigDelta, ConfigNeed

_REPEATS = 5


@dataclasses.dataclass(frozen=True, slots=True)
class TextCosts:
    """The costs of one small change and of one full copy of a text."""

    text_bytes: int
    delta_bytes: int
    copy_bytes: int
    accept_s: float
    make_s: float
    follow_s: float
    parse_s: float
    read_s: float


def text_costs(pools: int, vms_per_pool: int) -> TextCosts:
    """Measure one text; each duration is the median of some repeats."""
    old = make_copy(1, build_text(pools, vms_per_pool, 1))
    new = make_copy(2, build_text(pools, vms_per_pool, 2))
    edits = find_edits(split_lines(old.text), split_lines(new.text))
    delta = ConfigDelta(1, 2, new.checksum, edits)
    whole = missing_sections(new, ConfigNeed(0, ()))
    reader = TextReader()
    versions = itertools.cycle((old.text, new.text))
    reader.read(old.text)
    return TextCosts(
        text_bytes=len(new.text),
        delta_bytes=len(msgspec.msgpack.encode(delta)),
        copy_bytes=len(msgspec.msgpack.encode(whole)),
        accept_s=_accept_s(old.text, new.text),
        make_s=median_s(
            lambda: find_edits(split_lines(old.text), split_lines(new.text)),
        ),
        follow_s=median_s(lambda: follow_delta(old, delta)),
        parse_s=median_s(lambda: parse_fleet_text(new.text)),
        read_s=median_s(lambda: reader.read(next(versions))),
    )


def _accept_s(old: str, new: str) -> float:
    machine = Machine()
    numbers = itertools.count()
    texts = itertools.cycle((old, new))

    def accept() -> None:  # noqa: WPS430 - counts up from call to call
        number = next(numbers)
        command = Command(
            str(number),
            number,
            'bench',
            0,
            ChangeText(number, next(texts)),
        )
        machine.apply(number + 1, msgspec.msgpack.encode(command))

    accept()
    return median_s(accept)


def median_s(work: Callable[[], object]) -> float:
    """Return the median processor time of some work, in seconds."""
    spent_s: list[float] = []
    for _ in range(_REPEATS):
        started_s = time.process_time()
        work()
        spent_s.append(time.process_time() - started_s)
    return statistics.median(spent_s)
