"""Small deployment on loopback addresses for the scripts of this review.

Starts cores and entries with the commands of the deploy file, and holds the
stand-ins: workers, the platform's API, the advisor, clients and the operator.
Only the standard library is used.  All addresses are loopback addresses; every
process is ended by its id.
"""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
BROKEN, HELD, NOT_RUN = 1, 0, 2
# Bounds of the site tdcd-hanoi.
BOUNDS = {
    'contactMs': 3000, 'ackTimeoutMs': 4000, 'catchUpS': 4, 'drainMs': 2000,
    'graceS': 6, 'configApplyMs': 2000, 'recoveryS': 12, 'holdMaxMs': 10000,
    'killGraceMs': 900, 'gangTimeoutMs': 3000, 'cancel_ms': 3000,
    'visible_ms': 3000, 'early_ms': 250, 'finish_s': 14, 'status_s': 120,
    'remoteFactor': 1.5, 'checkpointS': 1, 'restoreMs': 250, 'noticeMs': 4500,
    'migrationS': 1.5, 'maintenanceS': 2, 'fencingEnforced': False,
    'leaseMs': 3000, 'thawSlackMs': 300, 'pacingMs': 100, 'impactMs': 4000,
}
ZONES = ('zone-a', 'zone-b', 'zone-c')
HOST = 'queue.example'
PREFIX = '/jobs/'


class CannotRun(Exception):
    """The case could not be run."""


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder):
        self._file = open(folder / 'record.txt', 'w', encoding='utf-8')
        self._began_s = time.monotonic()

    def now_s(self):
        return time.monotonic() - self._began_s

    def write(self, who, text):
        self._file.write(f'{self.now_s():8.3f} {who:<12} {text}\n')
        self._file.flush()


async def read_message(reader):
    """Return the first line, the headers and the body of an HTTP message."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head.split('\r\n')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    return first, headers, body


def request_bytes(method, path, host, body, headers=()):
    payload = b'' if body is None else json.dumps(body).encode()
    lines = [f'{method} {path} HTTP/1.1', f'Host: {host}',
             'Content-Type: application/json',
             f'Content-Length: {len(payload)}']
    lines.extend(f'{name}: {value}' for name, value in headers)
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + payload


class HttpConnection:
    """A kept-alive connection that makes one call at a time."""

    def __init__(self, address):
        self.address = address
        self._streams = None

    async def call(self, method, path, body=None, host='control', timeout_s=1.0,
                   headers=()):
        """Return status and body; raises OSError or TimeoutError."""
        try:
            async with asyncio.timeout(timeout_s):
                if self._streams is None:
                    self._streams = await asyncio.open_connection(*self.address)
                reader, writer = self._streams
                writer.write(request_bytes(method, path, host, body, headers))
                await writer.drain()
                first, answer_headers, payload = await read_message(reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
            self.close()
            if isinstance(error, TimeoutError):
                raise
            raise OSError(repr(error)) from error
        if answer_headers.get('connection', '').lower() == 'close':
            self.close()
        return int(first.split()[1]), payload

    def close(self):
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


class Proxy:
    """TCP proxy for one link, which may be cut.

    While `loses_answers` is set, the link is cut in the direction of the
    worker: open channels carry requests and no answers, and no new channel
    comes about.  While `is_cut` is set, it is cut in both directions.  A channel
    that lost bytes stays silent for good.
    """

    def __init__(self, listen, target):
        self.listen = listen
        self.target = target
        self.loses_answers = False
        self.is_cut = False
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, *self.listen)

    async def _serve(self, reader, writer):
        if self.loses_answers or self.is_cut:
            # The channel hangs, as on a link that is cut.
            await reader.read(-1)
            writer.close()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        pumps = [
            asyncio.create_task(self._pump(reader, far_writer, False)),
            asyncio.create_task(self._pump(far_reader, writer, True)),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        except asyncio.CancelledError:
            pass
        for pump in pumps:
            pump.cancel()
        await asyncio.gather(*pumps, return_exceptions=True)
        for end in (writer, far_writer):
            end.close()

    async def _pump(self, reader, writer, is_answer):
        is_silent = False
        while chunk := await reader.read(65536):
            # A channel that lost bytes stays silent for good.
            is_lost = self.is_cut or (is_answer and self.loses_answers)
            is_silent = is_silent or is_lost
            if not is_silent:
                writer.write(chunk)
                await writer.drain()


class HttpServer:
    """Small HTTP server; `answer(method, path, headers, body)` is a coroutine."""

    def __init__(self, address, answer):
        self._address = address
        self._answer = answer

    async def start(self):
        self._server = await asyncio.start_server(self._serve, *self._address)

    async def _serve(self, reader, writer):
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, path, _ = first.split()
                parsed = json.loads(body) if body else None
                status, reply = await self._answer(method, path, headers, parsed)
                payload = json.dumps(reply).encode()
                writer.write(
                    f'HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n'
                    f'Content-Length: {len(payload)}\r\n\r\n'.encode() + payload
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            writer.close()


class Run:
    """One run of a task on a worker."""

    def __init__(self, task, number, spec, now_s, saved):
        self.task, self.number, self.saved = task, number, saved
        work = json.loads(spec)
        # How long it works (0: it lasts) and how it ends, as the spec tells.
        self.work_s, self.end_how = work['work_s'], work.get('how', 'done')
        if isinstance(self.work_s, list):
            self.work_s = self.work_s[int(task.split('.')[2])]
        self.began_s = now_s
        self.ended_s = None
        self.how = ''

    def percent(self, now_s):
        if not self.work_s:
            return 100
        return min(int((now_s - self.began_s) / self.work_s * 100), 99)


class Worker:
    """Stand-in for a worker ('runner' on the users' pages), one life of it."""

    def __init__(self, fleet, name, service, links, cpu=16000, labels=('a', 'r1-1'),
                 zone=ZONES[0]):
        self.fleet, self.name, self.service = fleet, name, service
        self.cpu, self.labels, self.zone = cpu, labels, zone
        self._links = links
        self._connections = {}
        self._core = None
        self._sequence = 0
        self._fence = 0
        self._lease_until_s = 0.0
        self.running = {}
        self.finished = []
        self._over = {}
        self._ends = 0
        self.state = 'ready'
        self.is_up = True
        self.accepts_starts = True
        self._wake = asyncio.Event()
        self.answered = 0
        self.acknowledged_draining_s = None

    def _now_s(self):
        return self.fleet.record.now_s()

    def _body(self):
        self._sequence += 1
        now_s = self._now_s()
        body = {
            'service': self.service, 'address': f'{self.fleet.net}.90:8080',
            'zone': self.zone, 'version': 'v1', 'slots': 8, 'state': self.state,
            'coldRemainingMs': 0, 'machine': f'm-{self.name}',
            'capacity': {'cpu': self.cpu, 'memMb': 32768, 'gpu': 0},
            'labels': list(self.labels), 'clockMs': int(now_s * 1000),
            'sequence': self._sequence,
            'running': [[run.task, run.number, run.saved, run.percent(now_s), 0]
                        for run in self.running.values()],
            'finished': self.finished[:500],
        }
        if self.state == 'draining':
            body['remainingMs'] = 2000
        return body

    async def _call(self, path, body):
        """Make one call; return status and answer, or None."""
        cores = list(self._links)
        if self._core not in cores:
            self._core = random.choice(cores)
        connection = self._connections.get(self._core)
        if connection is None:
            connection = HttpConnection(self._links[self._core])
            self._connections[self._core] = connection
        try:
            status, payload = await connection.call('POST', path, body)
        except (OSError, TimeoutError):
            status = 0
        if status != 200:
            # The next process is called.
            self._core = cores[(cores.index(self._core) + 1) % len(cores)]
            return None
        return json.loads(payload) if payload else {}

    async def run(self):
        """Send heartbeats until the worker has left."""
        ender = asyncio.create_task(self._end_runs())
        try:
            while self.is_up:
                sent_s = self._now_s()
                draining = self.state == 'draining'
                answer = await self._call(f'/Instances.Heartbeat/{self.name}', self._body())
                wait_s = 0.05
                if answer is not None:
                    self.answered += 1
                    if draining and self.acknowledged_draining_s is None:
                        self.acknowledged_draining_s = self._now_s()
                    self._obey(answer, sent_s)
                    wait_s = answer.get('retryAfterMs', 1500) / 1000
                self._wake.clear()
                try:
                    async with asyncio.timeout(wait_s):
                        await self._wake.wait()
                        await asyncio.sleep(0.05)
                except TimeoutError:
                    pass
        finally:
            ender.cancel()
            for connection in self._connections.values():
                connection.close()

    def _obey(self, answer, sent_s):
        endpoint = answer.get('heartbeatEndpoint')
        if endpoint:
            host = endpoint.partition(':')[0]
            if host in self._links:
                self._core = host
        if not self.is_up or answer.get('fencingToken', 0) < self._fence:
            return
        self._fence = answer.get('fencingToken', 0)
        if 'holdMs' not in answer:
            return
        hold_s = min(answer['holdMs'], BOUNDS['holdMaxMs']) / 1000
        self._lease_until_s = max(self._lease_until_s, sent_s + hold_s)
        done = answer.get('ackedSeq', 0)
        for end in self.finished:
            if end[0] <= done:
                self.fleet.record.write(self.name, f'end {end[0]} {end[1]} run {end[2]} {end[3]} is taken note of')
                self.fleet.noted.append((self._now_s(), end[1], end[2], end[3], self.name))
        self.finished = [end for end in self.finished if end[0] > done]
        for task, number in answer.get('stopTasks', ()):
            if task in self.running and self.running[task].number == number:
                self.end(task, 'stopped')
        for row in answer.get('startTasks', ()):
            self._start(row)

    def _start(self, row):
        task, number, spec, saved = row[:4]
        if task in self.running and self.running[task].number == number:
            return
        ticket = row[4] if len(row) > 4 else ''
        if number <= self._over.get(task, 0) or not self.fleet.admits(self, task, ticket):
            self._list_end(task, number, 'refused', '')
            return
        run = Run(task, number, spec, self._now_s(), saved)
        self.running[task] = run
        self.fleet.runs.append((self, run))
        self.fleet.record.write(self.name, f'starts {task} run {number}')

    def _list_end(self, task, number, how, saved):
        self._ends += 1
        self._over[task] = max(self._over.get(task, 0), number)
        self.finished.append([self._ends, task, number, how, saved])
        self.fleet.record.write(self.name, f'lists the end of {task} run {number}: {how}')
        self._wake.set()

    def end(self, task, how):
        run = self.running.pop(task)
        run.ended_s, run.how = self._now_s(), how
        self._list_end(task, run.number, how, run.saved)

    async def _end_runs(self):
        while self.is_up:
            await asyncio.sleep(0.02)
            now_s = self._now_s()
            for task, run in list(self.running.items()):
                work_s = run.work_s
                if now_s >= self._lease_until_s:
                    self.end(task, 'lapsed')
                elif work_s and now_s - run.began_s >= work_s:
                    self.end(task, run.end_how)

    async def drain(self, linger_s):
        """Say `draining`; go on for drainMs and `linger_s` after the ack of it."""
        self.state = 'draining'
        self.fleet.record.write(self.name, 'drains')
        self._wake.set()
        while self.acknowledged_draining_s is None:
            await asyncio.sleep(0.02)
        self.fleet.record.write(self.name, 'has the ack that it drains')
        await asyncio.sleep(BOUNDS['drainMs'] / 1000 + linger_s)

    async def open_channel(self):
        """Open another channel to the core that it calls now."""
        connection = HttpConnection(self._links[self._core])
        await connection.call('GET', '/wave-get/1')
        return connection

    async def deregister(self, channel, exits_after_s):
        """Announce the end, then exit; without an ack, exit some time later."""
        until_s = self._now_s() + exits_after_s
        cores = list(self._links)
        at = cores.index(self._core)
        while self._now_s() < until_s:
            self.fleet.record.write(self.name, f'deregisters at {channel.address[0]}')
            left_s = min(1.0, max(until_s - self._now_s(), 0.05))
            try:
                status, _ = await channel.call(
                    'POST', f'/Instances.Deregister/{self.name}', timeout_s=left_s)
            except (OSError, TimeoutError):
                status = 0
            if status == 200:
                self.fleet.record.write(self.name, 'has the ack of its end')
                break
            at += 1
            channel.close()
            channel = HttpConnection(self._links[cores[at % len(cores)]])
        else:
            self.fleet.record.write(self.name, 'has no ack of its end')
        channel.close()
        self.exit()

    def exit(self):
        """End the process and everything that runs on it."""
        self.is_up = False
        now_s = self._now_s()
        for run in self.running.values():
            run.ended_s, run.how = now_s, 'gone'
        self.running = {}
        self.fleet.record.write(self.name, 'exits')


class Fleet:
    """Cores, entries and the stand-ins around them."""

    def __init__(self, folder, cores=3, entries=1):
        self.folder = pathlib.Path(folder)
        self.record = Record(self.folder)
        self._data = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.net = f'127.{random.randint(20, 250)}.{random.randint(1, 250)}'
        self.cores = [f'{self.net}.{11 + number}' for number in range(cores)]
        self.entries = [f'{self.net}.{41 + number}' for number in range(entries)]
        self.cloud = f'{self.net}.200'
        self.control, self.frontend, self.ready, self.own, self.metrics = self._ports()
        self.processes = {}
        self.runs = []
        self.noted = []
        self.workers = []
        self.tickets = {}
        self.advised = None
        self.advice = {'decisionMs': 20, 'periodMs': 0, 'validityMs': 3000}
        self._advisor_turns = {}
        self.version = 0
        self._tasks = set()

    def _ports(self):
        """Return ports that are free on the addresses in use."""
        for _ in range(50):
            first = random.randint(20000, 30000)
            ports = [first + step for step in range(5)]
            try:
                for host in (*self.cores, *self.entries, self.cloud):
                    for port in ports:
                        with socket.socket() as probe:
                            probe.bind((host, port))
                return ports
            except OSError:
                continue
        raise CannotRun('no free ports')

    def _settings(self, name, ip, zone, is_core):
        seeds = ', '.join(f'"{core}:{self.control}"' for core in self.cores[:3])
        bounds = '\n'.join(
            f'{key} = {json.dumps(value)}' for key, value in BOUNDS.items()
        )
        listen = (
            f'controlAddr = "{ip}:{self.control}"' if is_core else
            f'frontendAddr = "{ip}:{self.frontend}"\nready = "{ip}:{self.ready}"'
        )
        data = self._data / f'{name}-data'
        data.mkdir(exist_ok=True)
        return f'''nodeName = "{name}"
role = "{'core' if is_core else 'entry'}"
machineClass = "{'core' if is_core else 'frontend'}"
serves = ["{'control_plane' if is_core else 'frontend'}"]
ip = "{ip}"
zone = "{zone}"
region = "region"
portRange = [{self.own}, {self.own}]
seedNodes = [{seeds}]
bootstrap = true
faultCounted = {'true' if is_core else 'false'}
{f'dataDir = "{data}"' if is_core else ''}
discovery = "registry"
entry = "vip"
heartbeatMs = 1500
invariants = ["base", "drain", "config", "cost", "recover", "sched", "advice", "upkeep", "sharing"]
config_mode = "highest"
commands = "heartbeat"
recommendation = "{self.cloud}:{self.ready}"
[zones]
zone-a = "region"
zone-b = "region"
zone-c = "region"
[listenAddrs]
{listen}
[limits]
cpuShare = 0.752
cores = 2
memoryMb = 296
maxFds = 4096
linkMbps = 200.0
diskMb = {128 if is_core else 0}
[faultTolerance]
machines = 1
zones = 1
regions = 0
[bounds]
{bounds}
[cloudApi]
address = "{self.cloud}:{self.control}"
ratePerS = 64.0
duties = []
dutyPerS = 64.0
'''

    def start_process(self, name, ip, zone, is_core):
        file = self._data / f'{name}.toml'
        file.write_text(self._settings(name, ip, zone, is_core))
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', '/tmp'),
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'SSL_CERT_FILE': '/dev/null',
            'WIGEONREACH_METRICS_PORT': str(self.metrics),
            'WIGEONREACH_NODE_FILE': str(file),
        }
        with open(self._data / f'{name}.log', 'a') as log:
            self.processes[name] = subprocess.Popen(
                ['python3', '-m', 'wigeonreach.platform', 'core' if is_core else 'entry'],
                env=environment, cwd=ROOT, stdout=log, stderr=log,
            )
        self.record.write('fleet', f'started {name} on {ip}')

    async def start(self):
        if not (ROOT / 'target/deps/wigeonreach').is_dir():
            raise CannotRun('target/deps is missing: run the build first')
        await HttpServer((self.cloud, self.control), self._on_cloud).start()
        await HttpServer((self.cloud, self.ready), self._on_advice).start()
        for number, ip in enumerate(self.cores):
            self.start_process(f'core-{number}', ip, ZONES[number % 3], True)
        for number, ip in enumerate(self.entries):
            self.start_process(f'entry-{number}', ip, ZONES[number % 3], False)
        await self.wait_ready()

    async def wait_ready(self):
        for ip in self.entries:
            for _ in range(150):
                try:
                    status, _ = await HttpConnection((ip, self.ready)).call('GET', '/readyz')
                except (OSError, TimeoutError):
                    status = 0
                if status == 200:
                    break
                await asyncio.sleep(0.1)
            else:
                raise CannotRun('an entry did not become ready')

    def end_all(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.terminate()
        until_s = time.monotonic() + 8
        for process in self.processes.values():
            try:
                process.wait(max(until_s - time.monotonic(), 0.1))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()

    # Stand-in of the platform's API for machines, and of the advisor.

    async def _on_cloud(self, method, path, headers, body):
        if method == 'GET':
            rows = [
                {'machine': f'm-{worker.name}', 'pool': worker.service,
                 'state': 'up' if worker.is_up else 'down', 'zone': worker.zone,
                 'labels': list(worker.labels),
                 'capacity': {'cpu': worker.cpu, 'memMb': 32768, 'gpu': 0},
                 'id': worker.name if worker.is_up else None}
                for worker in self.workers
            ]
            return 200, {'machines': rows, 'nextToken': None}
        self.record.write('platform', f'{path} {json.dumps(body)}: busy')
        return 409, {'reason': 'busy'}

    async def _on_advice(self, method, path, headers, body):
        # One call at a time; here only the leader calls.
        turn = self._advisor_turns.setdefault('leader', asyncio.Lock())
        async with turn:
            took_ms = self.advice['decisionMs'] + self.advice['periodMs'] * len(body['workers'])
            await asyncio.sleep(took_ms / 1000)
        rows = []
        for worker in body['workers']:
            if self.advised is None or worker in self.advised:
                ticket = self.tickets.setdefault(
                    (body['step'], worker), f't{len(self.tickets)}')
                rows.append([worker, ticket])
        self.record.write('advisor', f'asked for {body["step"]} on {body["workers"]}, allows'
                          f' {[row[0] for row in rows]} after {took_ms} ms')
        return 200, {'allowedWorkers': rows, 'validityMs': self.advice['validityMs']}

    def admits(self, worker, task, ticket):
        """Whether a worker may start a task with this ticket."""
        if self.advised is None:
            return True
        return bool(ticket) and self.tickets.get((task.rpartition('.')[0], worker.name)) == ticket

    # The operator.

    async def put_manifest(self, routes, services):
        self.version += 1
        body = {
            'version': self.version, 'routes': routes, 'services': services,
            'limits': {'maxHeaderBytes': 16384, 'maxBodyBytes': 262144,
                       'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000},
        }
        for attempt in range(40):
            core = self.cores[attempt % len(self.cores)]
            try:
                status, _ = await HttpConnection((core, self.control)).call(
                    'POST', '/Config.Replace', body)
            except (OSError, TimeoutError):
                status = 0
            if status == 200:
                self.record.write('operator', f'version {self.version} is acknowledged')
                return
            await asyncio.sleep(0.1)
        raise CannotRun('the manifest was not accepted')

    # Clients.

    async def client(self, method, job_id, body=None, prefix=PREFIX, entry=0, quiet=False):
        connection = HttpConnection((self.entries[entry % len(self.entries)], self.frontend))
        try:
            status, payload = await connection.call(
                method, prefix + job_id, body, HOST, 3.2, (('X-Deadline-Ms', '3000'),))
        except (OSError, TimeoutError):
            status, payload = 0, b''
        connection.close()
        answer = json.loads(payload) if payload and status == 200 else {}
        if not quiet:
            self.record.write('client', f'{method} {prefix}{job_id}: {status} {json.dumps(answer)}')
        return status, answer

    async def submit(self, job_id, spec, phases, prefix=PREFIX):
        """Hand a job in until it is accepted, as clients do."""
        for _ in range(5):
            status, _ = await self.client(
                'POST', job_id, {'spec': json.dumps(spec), 'phases': phases}, prefix)
            if status == 200:
                return True
            if status in (400, 404):
                return False
            await asyncio.sleep(0.3)
        return False

    def add_worker(self, worker):
        self.workers.append(worker)
        task = asyncio.create_task(worker.run())
        self._tasks.add(task)
        return worker

    def links(self):
        """Return direct links to the control API of each core."""
        return {core: (core, self.control) for core in self.cores}

    async def proxied_links(self, first_host):
        """Return links through proxies of their own, and these proxies."""
        proxies = {}
        for number, core in enumerate(self.cores):
            listen = (f'{self.net}.{first_host + number}', self.control)
            proxies[core] = Proxy(listen, (core, self.control))
            await proxies[core].start()
        return {core: proxy.listen for core, proxy in proxies.items()}, proxies

    async def wait_heard(self, count=3):
        for _ in range(200):
            if all(worker.answered >= count for worker in self.workers):
                return
            await asyncio.sleep(0.05)
        raise CannotRun('a worker was not answered')


def route(name, service, prefix=PREFIX, **more):
    return {'name': name, 'host': HOST, 'pathPrefix': prefix, 'kind': 'non_idempotent',
            'timeoutMs': 3000, 'targetLatencyMs': 3600, 'priority': 0, 'service': service,
            'maxAttempts': 3, 'slackFactor': 1.6, **more}


def service(name, guards=True):
    return {'name': name, 'healthPath': '/healthz', 'maxConns': 64, 'protocol': 'h1',
            'tls': False, 'enforcesCapacity': guards, 'standby': False}


def new_id():
    return f'{random.getrandbits(64):016x}'


def _on_terminate(number, frame):
    raise SystemExit(NOT_RUN)


def main(file, case, **options):
    """Run a case; `case(fleet)` returns a text if the rule was broken."""
    fleet = None
    signal.signal(signal.SIGTERM, _on_terminate)
    try:
        fleet = Fleet(pathlib.Path(file).resolve().parent, **options)

        async def whole():
            async with asyncio.timeout(105):
                await fleet.start()
                return await case(fleet)

        broken = asyncio.run(whole())
    except Exception as error:
        traceback.print_exc()
        print(f'could not run: {error!r}')
        if fleet is not None:
            fleet.record.write('case', f'could not run: {error!r}')
        return NOT_RUN
    finally:
        if fleet is not None:
            fleet.end_all()
            shutil.rmtree(fleet._data, ignore_errors=True)
    text = f'the rule was broken: {broken}' if broken else 'the rule held'
    fleet.record.write('case', text)
    print(text)
    return BROKEN if broken else HELD
