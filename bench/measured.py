"""Read measured figures back from the lines that benchmarks printed."""

from __future__ import annotations

import collections
import dataclasses
import pathlib
import statistics

import msgspec

from bench.figures import Figure


@dataclasses.dataclass(frozen=True, slots=True)
class Measurement:
    """Median and spread of one figure over several runs."""

    median: float
    lowest: float
    highest: float
    runs: int
    unit: str


class Measured:
    """All measurements of a file of figures.

    Parameters
    ----------
    path
        A file of JSON lines, as ``make bench`` prints them.
    """

    def __init__(self, path: pathlib.Path) -> None:
        """Group the lines by benchmark and figure."""
        decoder = msgspec.json.Decoder(Figure)
        self._figures: dict[str, list[Figure]] = collections.defaultdict(list)
        for figure in decoder.decode_lines(path.read_bytes()):
            name = f'{figure.bench}.{figure.figure}'
            self._figures[name].append(figure)

    def names(self) -> list[str]:
        """Return ``BENCH.FIGURE`` of each measurement, sorted."""
        return sorted(self._figures)

    def measurement(self, name: str) -> Measurement:
        """Return one measurement.

        Parameters
        ----------
        name
            ``BENCH.FIGURE``.

        Returns
        -------
        Measurement
            Median and spread over the runs in the file.

        Raises
        ------
        KeyError
            If the file has no such figure.
        """
        if name not in self._figures:
            raise KeyError(name)
        figures = self._figures[name]
        seen = [figure.value for figure in figures]
        return Measurement(
            statistics.median(seen),
            min(seen),
            max(seen),
            len(seen),
            figures[0].unit,
        )

    def median(self, name: str) -> float:
        """Return the median of one figure; raise ``KeyError`` if missing."""
        return self.measurement(name).median
