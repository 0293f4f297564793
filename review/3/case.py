"""A core that is killed as the system is founded leaves it without a leader for ever."""

from __future__ import annotations

import os
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import standin  # noqa: E402

RESTART_AFTER_S = 0.5
# `recoveryS` and `ackTimeoutMs` after the killed core is back, and some more.
WATCH_S = 30.0
NO_NEW_ATTEMPT_AFTER_S = 70.0
FOUNDING_S = 8.0


def wait_for_founding(system):
    """Wait until the first core stores its vote of the first term.

    The file is written when the core first starts, and replaced when it founds
    the system: its inode then changes.
    """
    file = system.folder / 'core-0-disk' / 'hard-state'
    until = time.monotonic() + FOUNDING_S
    first = None
    while time.monotonic() < until:
        try:
            inode = os.stat(file).st_ino
        except FileNotFoundError:
            continue
        if first is None:
            first = inode
        elif inode != first:
            return True
    return False


def is_served(system, queue, within_s):
    """Send a manifest until it is acknowledged, or the time is up."""
    return standin.Operator(system).send(1, [queue], ['desk'], within_s=within_s)


def attempt(record, number):
    """Start a new system; return whether it was still not founded at the end."""
    record.add('attempt', number=number)
    system = standin.System(record)
    platform = standin.Platform(system)
    try:
        system.launch()
        if not wait_for_founding(system):
            raise standin.CannotRun('the first core founds nothing')
        if standin.TROUBLE:
            system.signal_core(0, signal.SIGKILL)
            time.sleep(RESTART_AFTER_S)
            system.start_core(0)
        back_s = record.now_s()
        queue = standin.Queue('r-1', 'desk.example', '/work/', 'desk')
        if is_served(system, queue, WATCH_S):
            record.add('manifest-acknowledged', after_s=round(record.now_s() - back_s, 2))
            return False
        running = [name for name, process in system.processes.items() if process.poll() is None]
        record.add('no-ack', after_s=round(record.now_s() - back_s, 2), running=','.join(running))
        step = {'count': 1, 'cpu': 1000, 'memMb': 256, 'estimatedMs': 500}
        standin.Client(system, queue).submit(standin.new_job_id(), 'text', [step])
        return True
    finally:
        platform.stop()
        system.stop()


def main():
    record = standin.Record(HERE)
    record.add('case', folder=HERE.name, trouble=standin.TROUBLE)
    status = standin.HELD
    number = 0
    try:
        while number == 0 or (standin.TROUBLE and record.now_s() < NO_NEW_ATTEMPT_AFTER_S):
            number += 1
            if attempt(record, number):
                status = standin.BROKEN
                break
    except standin.CannotRun as error:
        record.add('cannot-run', reason=str(error))
        status = standin.NOT_RUN
    record.add('result', status=status)
    print({0: 'held', 1: 'broken', 2: 'not run'}[status])
    return status


sys.exit(main())
