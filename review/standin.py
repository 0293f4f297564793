"""Stand-ins for runners, clients, the operator and the platform.

They follow the users' pages and use only the standard library.  The programs
of the system are started as the deploy file starts them, as processes of their
own on loopback addresses, and are ended by their ids.
"""

from __future__ import annotations

import contextlib
import dataclasses
import http.client
import http.server
import json
import os
import pathlib
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
ZONES = ('zone-a', 'zone-b', 'zone-c')
BROKEN, HELD, NOT_RUN = 1, 0, 2
TROUBLE = os.environ.get('TROUBLE', '1') != '0'

_BOUNDS = """
[bounds]
seedLagS = 3
addrReuseS = 2
contactMs = 3000
ackTimeoutMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
downgradeSlackMs = 250
maxExtensionMs = 5000
recoveryS = 12
holdMaxMs = 10000
killGraceMs = 400
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remoteFactor = 1.5
checkpointS = 1
restoreMs = 250
noticeMs = 4500
migrationS = 1.5
maintenanceS = 2
fencingEnforced = false
leaseMs = 3000
thawSlackMs = 300
pacingMs = 100
impactMs = 4000
"""


class CannotRun(Exception):
    """The case could not be set up, so it shows nothing."""


class Record:
    """Writes what was sent, answered and run to a file."""

    def __init__(self, file: pathlib.Path) -> None:
        self._file = file.open('w', encoding='utf-8')
        self._lock = threading.Lock()
        self._began_s = time.monotonic()
        self.events: list[dict[str, object]] = []

    def now_s(self) -> float:
        """Return the time since the start of the case."""
        return time.monotonic() - self._began_s

    def add(self, what: str, **fields: object) -> dict[str, object]:
        """Write a line and keep it as an event."""
        with self._lock:
            event = {'at_s': round(self.now_s(), 3), 'what': what, **fields}
            self.events.append(event)
            rest = ' '.join(f'{key}={value}' for key, value in fields.items())
            self._file.write(f'{event["at_s"]:8.3f} {what} {rest}\n')
            self._file.flush()
        return event

    def of(self, what: str, **fields: object) -> list[dict[str, object]]:
        """Return the events of a kind with these fields."""
        with self._lock:
            return [
                event
                for event in self.events
                if event['what'] == what
                and all(event.get(key) == value for key, value in fields.items())
            ]


def free_ports(hosts: list[str], count: int) -> list[int]:
    """Return ports that are free on all of the hosts."""
    found: list[int] = []
    while len(found) < count:
        with socket.socket() as probe:
            probe.bind((hosts[0], 0))
            port = probe.getsockname()[1]
        if port in found or port < 10000:
            continue
        try:
            for host in hosts:
                with socket.socket() as other:
                    other.bind((host, port))
        except OSError:
            continue
        found.append(port)
    return found


class System:
    """Three cores and some entries of the deploy file, as processes."""

    def __init__(self, record: Record, cores: int = 3, entries: int = 1) -> None:
        if not (ROOT / 'target/deps/wigeonreach').is_dir():
            raise CannotRun('target/deps is missing: build first')
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        net = f'127.{20 + secrets.randbelow(200)}.{1 + secrets.randbelow(250)}'
        self.core_ips = [f'{net}.{11 + at}' for at in range(cores)]
        self.entry_ips = [f'{net}.{41 + at}' for at in range(entries)]
        self.platform_ip = f'{net}.200'
        hosts = [*self.core_ips, *self.entry_ips, self.platform_ip]
        self.peer, self.control, self.front, self.ready, self.cloud = free_ports(hosts, 5)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self._bootstrap = True

    @property
    def controls(self) -> list[tuple[str, int]]:
        """Control addresses of all cores."""
        return [(ip, self.control) for ip in self.core_ips]

    def launch(self) -> None:
        """Start all processes, without waiting for them."""
        for at, _ in enumerate(self.core_ips):
            self.start_core(at)
        for at, ip in enumerate(self.entry_ips):
            self._start('entry', f'entry-{at}', ip, at)

    def start(self) -> None:
        """Start all processes and wait until every entry is ready."""
        self.launch()
        until = time.monotonic() + 20
        while time.monotonic() < until:
            if all(self._is_ready(ip) for ip in self.entry_ips):
                self._bootstrap = False
                self.record.add('system-ready')
                return
            time.sleep(0.1)
        raise CannotRun('the entries are not ready')

    def start_core(self, at: int) -> None:
        """Start a core, or start it again on the disk that it had."""
        self._start('core', f'core-{at}', self.core_ips[at], at)

    def stop(self) -> None:
        """End all processes."""
        for process in self.processes.values():
            with contextlib.suppress(OSError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.wait(10)
        if os.environ.get('KEEP'):
            sys.stderr.write(f'{self.folder}\n')
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def _start(self, role: str, name: str, ip: str, at: int) -> None:
        file = self.folder / f'{name}.toml'
        file.write_text(self._settings(role, name, ip, at), encoding='utf-8')
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', ''),
            'PYTHONPATH': 'target/deps',
            'SSL_CERT_FILE': '/dev/null',
            'WIGEONREACH_NODE_FILE': str(file),
        }
        with (self.folder / f'{name}.log').open('ab') as log:
            self.processes[name] = subprocess.Popen(
                ['python3', '-m', 'wigeonreach.platform', role],
                cwd=ROOT, env=environment, stdout=log, stderr=log,
            )
        self.record.add('process-started', name=name)

    def _settings(self, role: str, name: str, ip: str, at: int) -> str:
        is_core = role == 'core'
        kind = 'core' if is_core else 'frontend'
        serves = 'control_plane' if is_core else 'frontend'
        seeds = ', '.join(f'"{core}:{self.control}"' for core in self.core_ips[:3])
        lines = [
            f'nodeName = "{name}"', f'role = "{role}"',
            f'machineClass = "{kind}"', f'serves = ["{serves}"]',
            f'ip = "{ip}"', f'zone = "{ZONES[at % 3]}"', 'region = "region"',
            f'portRange = [{self.peer},{self.peer}]', f'seedNodes = [{seeds}]',
            f'bootstrap = {str(self._bootstrap).lower()}',
            f'faultCounted = {str(is_core).lower()}',
        ]
        if is_core:
            disk = self.folder / f'{name}-disk'
            disk.mkdir(exist_ok=True)
            lines.append(f'dataDir = "{disk}"')
        lines += [
            'discovery = "registry"', 'entry = "vip"', 'heartbeatMs = 1500',
            'invariants = ["base","drain","config","cost","recover","sched","advice","upkeep","sharing"]',
            'config_mode = "highest"', 'commands = "heartbeat"',
            f'recommendation = "{self.platform_ip}:{self.cloud}"',
            '[zones]', *(f'{zone} = "region"' for zone in ZONES),
            '[listenAddrs]',
        ]
        if is_core:
            lines.append(f'controlAddr = "{ip}:{self.control}"')
        else:
            lines += [f'frontendAddr = "{ip}:{self.front}"', f'ready = "{ip}:{self.ready}"']
        lines += [
            '[limits]', 'cpuShare = 0.752', 'cores = 2', 'memoryMb = 296',
            'maxFds = 4096', 'linkMbps = 1000.0', f'diskMb = {128 if is_core else 0}',
            '[faultTolerance]', 'machines = 1', 'zones = 1', 'regions = 0',
            _BOUNDS,
            '[cloudApi]', f'address = "{self.platform_ip}:{self.cloud}"',
            'ratePerS = 64.0', 'duties = []', 'dutyPerS = 64.0',
        ]
        return '\n'.join(lines) + '\n'

    def _is_ready(self, ip: str) -> bool:
        status, _ = call((ip, self.ready), 'GET', '/readyz', timeout_s=1)
        return status == 200


def call(
    address: tuple[str, int],
    method: str,
    path: str,
    body: object = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 1.0,
) -> tuple[int, bytes]:
    """Make an HTTP call; status 0 stands for no answer."""
    link = http.client.HTTPConnection(*address, timeout=timeout_s)
    try:
        text = None if body is None else json.dumps(body).encode()
        own = {'Content-Type': 'application/json', **(headers or {})}
        link.request(method, path, text, own)
        answer = link.getresponse()
        return answer.status, answer.read()
    except (OSError, http.client.HTTPException):
        return 0, b''
    finally:
        link.close()


@dataclasses.dataclass
class Queue:
    """A route of the manifest."""

    name: str
    host: str
    prefix: str
    service: str
    attempts: int = 3
    priority: int = 0

    def route(self) -> dict[str, object]:
        """Return the route as the operator sends it."""
        return {
            'name': self.name, 'host': self.host, 'pathPrefix': self.prefix,
            'kind': 'non_idempotent', 'timeoutMs': 3000, 'targetLatencyMs': 3600,
            'priority': self.priority, 'service': self.service,
            'maxAttempts': self.attempts, 'slackFactor': 1.6,
        }


class Operator:
    """Sends manifests, to each core in turn until one is acknowledged."""

    def __init__(self, system: System) -> None:
        self._system = system

    def send(self, version: int, queues: list[Queue], services: list[str],
             within_s: float = 15, standby: str = '') -> bool:
        """Send a manifest until it is acknowledged.

        ``standby`` is a further service, whose machines are off.
        """
        body = {
            'version': version, 'routes': [queue.route() for queue in queues],
            'services': [
                {'name': name, 'healthPath': '/healthz', 'maxConns': 64,
                 'protocol': 'h1', 'tls': False, 'enforcesCapacity': True,
                 'standby': name == standby}
                for name in filter(None, (*services, standby))
            ],
            'limits': {'maxHeaderBytes': 16384, 'maxBodyBytes': 262144,
                       'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000},
        }
        until = time.monotonic() + within_s
        turn = 0
        while time.monotonic() < until:
            address = self._system.controls[turn % len(self._system.controls)]
            turn += 1
            status, _ = call(address, 'POST', '/Config.Replace', body)
            self._system.record.add('manifest', version=version, core=address[0], status=status)
            if status == 200:
                return True
            time.sleep(0.1)
        return False


class Client:
    """A client of one queue at one entry."""

    def __init__(self, system: System, queue: Queue, entry: int = 0) -> None:
        self._system = system
        self._queue = queue
        self._address = (system.entry_ips[entry], system.front)

    def submit(self, job: str, spec: str, phases: list[dict[str, object]]) -> int:
        """Hand a job in once; return the status, 0 without an answer."""
        body = {'spec': spec, 'phases': phases}
        sent = self._system.record.add('submit', job=job, phases=json.dumps(phases))
        status, _ = self._call('POST', job, body)
        self._system.record.add('submitted', job=job, sent_s=sent['at_s'], status=status)
        return status

    def submit_until_accepted(self, job: str, spec: str, phases: list[dict[str, object]],
                              within_s: float = 10) -> None:
        """Hand a job in, again after an answer that leaves its fate open."""
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            if self.submit(job, spec, phases) == 200:
                return
            time.sleep(0.2)
        raise CannotRun(f'job {job} was not accepted')

    def state(self, job: str) -> tuple[int, str]:
        """Ask for the state of a job."""
        status, text = self._call('GET', job)
        state = ''
        with contextlib.suppress(ValueError, KeyError):
            state = json.loads(text)['state']
        self._system.record.add('state', job=job, status=status, state=state)
        return status, state

    def _call(self, method: str, rest: str, body: object = None) -> tuple[int, bytes]:
        headers = {'Host': self._queue.host, 'X-Deadline-Ms': '3000'}
        return call(self._address, method, self._queue.prefix + rest, body, headers, 3.0)


def new_job_id() -> str:
    """Return an id of 16 hexadecimal digits."""
    return secrets.token_hex(8)


@dataclasses.dataclass
class _Run:
    task: str
    number: int
    spec: str
    ends_s: float
    began_s: float
    how: str


class Runner:
    """A runner: checks in, runs tasks under a lease, lists their ends.

    ``plan`` returns, for a task and its attempt, how long it works and how it
    ends.
    """

    def __init__(self, system: System, machine: str, service: str, zone: str,
                 labels: list[str], capacity: dict[str, int], plan) -> None:
        self.id = f'i-{secrets.token_hex(4)}'
        self.machine = machine
        self.service = service
        self.zone = zone
        self.labels = labels
        self.capacity = capacity
        self.is_up = True
        self._plan = plan
        self._system = system
        self._record = system.record
        self._lock = threading.RLock()
        self._wake = threading.Event()
        self._sequence = 0
        self._born_s = time.monotonic()
        self._born_ms = int(time.time() * 1000)
        self.last_check_in: dict[str, object] = {}
        self._fence = 0
        self._lease_s = 0.0
        self._end_number = 0
        self._runs: dict[tuple[str, int], _Run] = {}
        self._ended: list[list[object]] = []
        self._over: dict[str, int] = {}
        self._target = secrets.randbelow(len(system.controls))
        self._address = system.controls[self._target]
        self._threads = [
            threading.Thread(target=self._beat_on, daemon=True),
            threading.Thread(target=self._tick_on, daemon=True),
        ]
        for thread in self._threads:
            thread.start()
        self._record.add('runner-up', runner=self.id, machine=machine,
                         labels=','.join(labels), capacity=json.dumps(capacity))

    def at_work(self) -> int:
        """Return the number of tasks at work."""
        with self._lock:
            return len(self._runs)

    def _beat_on(self) -> None:
        wait_s = 0.0
        while self.is_up:
            self._wake.wait(wait_s)
            if self._wake.is_set():
                self._wake.clear()
                time.sleep(0.05)
            if not self.is_up:
                return
            wait_s = self._beat()

    def _beat(self) -> float:
        sent_s = time.monotonic()
        with self._lock:
            self._sequence += 1
            body = {
                'service': self.service, 'address': f'10.9.0.1:{8000 + id(self) % 1000}',
                'zone': self.zone, 'version': 'v1', 'slots': 8, 'state': 'ready',
                'coldRemainingMs': 0, 'capacity': self.capacity, 'labels': self.labels,
                'machine': self.machine, 'sequence': self._sequence,
                'born': self._born_ms, 'clockMs': int((sent_s - self._born_s) * 1000),
                'running': [
                    [run.task, run.number, '', self._percent(run, sent_s), 0]
                    for run in self._runs.values()
                ],
                'finished': list(self._ended[:500]),
            }
            self.last_check_in = body
        status, text = call(self._address, 'POST', f'/Instances.Heartbeat/{self.id}', body, timeout_s=1.0)
        if time.monotonic() - sent_s > 1.0 or status // 100 != 2:
            self._next_target()
            return 0.05
        answer = json.loads(text)
        self._obey(answer, sent_s)
        if answer.get('heartbeatEndpoint'):
            host, _, port = answer['heartbeatEndpoint'].partition(':')
            self._address = (host, int(port))
        return answer.get('retryAfterMs', 1500) / 1000

    def _next_target(self) -> None:
        self._target = (self._target + 1) % len(self._system.controls)
        self._address = self._system.controls[self._target]

    def _percent(self, run: _Run, now_s: float) -> int:
        whole_s = max(run.ends_s - run.began_s, 0.001)
        return max(0, min(99, int(100 * (now_s - run.began_s) / whole_s)))

    def _obey(self, answer: dict[str, object], sent_s: float) -> None:
        with self._lock:
            if not self.is_up or answer.get('fencingToken', 0) < self._fence:
                return
            self._fence = answer.get('fencingToken', 0)
            acked = answer.get('ackedSeq', 0)
            for row in self._ended:
                if row[0] <= acked:
                    self._record.add('end-acked', runner=self.id, task=row[1], run=row[2], how=row[3])
            self._ended = [row for row in self._ended if row[0] > acked]
            for task, number in answer.get('stopTasks', ()):
                run = self._runs.get((task, number))
                self._over[task] = max(self._over.get(task, 0), number)
                if run is not None:
                    run.how = 'stopped'
                    run.ends_s = min(run.ends_s, time.monotonic() + 0.05)
            hold_ms = answer.get('holdMs')
            if not hold_ms:
                return
            self._lease_s = max(self._lease_s, sent_s + min(hold_ms, 10000) / 1000)
            for row in answer.get('startTasks', ()):
                self._start(*row[:4])

    def _start(self, task: str, number: int, spec: str, saved: str) -> None:
        if (task, number) in self._runs:
            return
        if number <= self._over.get(task, 0):
            self._end_row(task, number, 'refused')
            return
        duration_s, how = self._plan(self, task, number, spec)
        now_s = time.monotonic()
        self._runs[task, number] = _Run(task, number, spec, now_s + duration_s, now_s, how)
        self._record.add('run-started', runner=self.id, task=task, run=number)

    def _tick_on(self) -> None:
        while self.is_up:
            time.sleep(0.01)
            now_s = time.monotonic()
            with self._lock:
                has_lapsed = now_s > self._lease_s
                for key, run in list(self._runs.items()):
                    if has_lapsed or now_s >= run.ends_s:
                        self._runs.pop(key)
                        how = 'lapsed' if has_lapsed else run.how
                        self._end_row(run.task, run.number, how)
                        self._wake.set()

    def _end_row(self, task: str, number: int, how: str) -> None:
        self._end_number += 1
        self._over[task] = max(self._over.get(task, 0), number)
        self._ended.append([self._end_number, task, number, how, ''])
        self._record.add('run-ended', runner=self.id, task=task, run=number, how=how)


class Platform:
    """The platform's API for machines: lists them, all up, and moves none."""

    def __init__(self, system: System) -> None:
        runners: list[Runner] = []
        self.runners = runners
        record = system.record

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = 'HTTP/1.1'

            def do_GET(self) -> None:
                machines = [
                    {'machine': one.machine, 'pool': one.service,
                     'state': 'up' if one.is_up else 'down', 'zone': one.zone,
                     'labels': one.labels, 'capacity': one.capacity, 'id': one.id}
                    for one in runners
                ]
                self._reply(200, {'machines': machines})

            def do_POST(self) -> None:
                text = self.rfile.read(int(self.headers.get('Content-Length', 0)))
                record.add('platform-call', path=self.path, body=text.decode())
                self._reply(409, {'reason': 'busy'})

            def _reply(self, status: int, body: object) -> None:
                text = json.dumps(body).encode()
                self.send_response(status)
                self.send_header('Content-Type', 'application/json')
                self.send_header('Content-Length', str(len(text)))
                self.end_headers()
                self.wfile.write(text)

            def log_message(self, *_: object) -> None:
                """Write no access log."""

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True

            def handle_error(self, *_: object) -> None:
                """Write nothing: callers that end reset their channels."""

        self._server = Server((system.platform_ip, system.cloud), Handler)
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def stop(self) -> None:
        """Stop listening."""
        self._server.shutdown()
        self._server.server_close()


# A script may take 120 s.
_AT_MOST_S = 110


def _end_cleanly() -> None:
    """Turn SIGTERM, and too long a run, into an end that ends all processes."""

    def leave(number: int, _: object) -> None:
        raise CannotRun(signal.Signals(number).name)

    signal.signal(signal.SIGTERM, leave)
    signal.signal(signal.SIGALRM, leave)
    signal.alarm(_AT_MOST_S)


def _end_all(system: System | None, platform: Platform | None) -> None:
    """End everything, undisturbed by further signals."""
    signal.alarm(0)
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    if platform is not None:
        for runner in platform.runners:
            runner.is_up = False
        platform.stop()
    if system is not None:
        system.stop()


def main(file: pathlib.Path, case) -> int:
    """Run a case in a new system; return the status of the script.

    Any failure of the script itself means that the case could not run.
    """
    record = Record(file)
    record.add('case', folder=file.parent.name, trouble=TROUBLE)
    system = None
    platform = None
    try:
        _end_cleanly()
        system = System(record)
        platform = Platform(system)
        system.start()
        status = case(system, platform, record)
    except (Exception, KeyboardInterrupt) as error:  # noqa: BLE001
        record.add('cannot-run', reason=repr(error))
        status = NOT_RUN
    finally:
        _end_all(system, platform)
    record.add('result', status=status, meaning={0: 'held', 1: 'broken', 2: 'not run'}[status])
    print({0: 'held', 1: 'broken', 2: 'not run'}[status])
    return status
