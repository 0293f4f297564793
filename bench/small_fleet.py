"""Create and start a small fleet in a temporary folder."""

from __future__ import annotations

import contextlib
import pathlib
import shutil
import tempfile
import time
from collections.abc import Iterator

from bench.cluster import Cluster, Shape

_ANNOUNCED_S = 1.5


@contextlib.contextmanager
def laid_out_fleet(shape: Shape) -> Iterator[Cluster]:
    """Yield a fleet that is not yet started; stop it on exit.

    Parameters
    ----------
    shape
        Size and options of the fleet.
    """
    folder = pathlib.Path(tempfile.mkdtemp())
    cluster = Cluster(shape, folder)
    try:
        yield cluster
    finally:
        cluster.stop()
        shutil.rmtree(folder, ignore_errors=True)


def start_fleet(cluster: Cluster, text: str) -> None:
    """Start a fleet, apply a text and wait until targets are known.

    Parameters
    ----------
    cluster
        The fleet.
    text
        The operator's text.
    """
    path = cluster.folder / 'fleet.toml'
    path.write_text(text)
    cluster.start()
    cluster.command_line('apply', str(path))
    cluster.wait_until_ready()
    time.sleep(_ANNOUNCED_S)
