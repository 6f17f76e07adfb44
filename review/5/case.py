"""More clients than usual upload large files in chunks; other clients have requests in progress at the same front machine."""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import harness

HOST = 'sleepers.example'
BACKENDS = 6
WORK_S = 0.3
MEMORY_MB = 260  # of a front machine of atw-gateway
FILE_BYTES = 24_000_000  # max_body_bytes is 67108864
CHUNK_BYTES = 16_000
UPLOADERS = 5
X = 1.8  # the disruption burst: at most x 1.8 at atw-gateway
ORDER_CLIENTS = 12
DEADLINE_MS = 8000


class Files(harness.Backend):
    async def handle(self, writer, method, target, fields, body):
        if target == '/health':
            self.answer(writer, 200, {'X-Instance-Id': self.id, 'X-Server-Load': self.load()})
            return
        request = fields['x-request-id']
        self.runs[request] = self.runs.get(request, 0) + 1
        self.record.write(f'{self.id}: runs {request} with a body of {len(body)} bytes')
        self.running += 1
        await asyncio.sleep(WORK_S)
        self.running -= 1
        self.answer(writer, 200, {'X-Request-Id': request, 'X-Server-Stamp': f'{self.id}.{request}', 'X-Server-Load': self.load()}, b'done')


class OrderClient:
    """Sends orders one after the other on a connection that it keeps."""

    def __init__(self, system, name):
        self.system = system
        self.name = name
        self.count = 0
        self.unanswered = []

    async def run(self, end):
        record = self.system.record
        front = self.system.fronts[0]
        while record.now() < end:
            writer = None
            try:
                async with asyncio.timeout(1):
                    reader, writer = await asyncio.open_connection(front, self.system.front_port)
                on_connection = 0
                while record.now() < end:
                    self.count += 1
                    request = f'order-{self.name}-{self.count}'
                    writer.write(harness.request_bytes(HOST, 'POST', '/orders/1', {'X-Request-Id': request, 'X-Deadline-Ms': 5000}, b'o'))
                    record.write(f'client: sent {request}')
                    try:
                        async with asyncio.timeout(6):
                            status, _, _ = await harness.read_answer(reader)
                        record.write(f'client: {request}: status {status}')
                    except (OSError, asyncio.IncompleteReadError):
                        kept = on_connection > 0
                        record.write(f'client: {request}: NO ANSWER, the {"kept " if kept else ""}connection was closed')
                        if kept:
                            self.unanswered.append(request)
                        raise
                    on_connection += 1
                    await asyncio.sleep(0.01)
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                await asyncio.sleep(0.2)
            finally:
                if writer is not None:
                    writer.close()


def resident_mb(pid):
    try:
        with open(f'/proc/{pid}/status', encoding='ascii') as file:
            for line in file:
                if line.startswith('VmRSS:'):
                    return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0


async def case(record, with_trouble):
    system = harness.System(record)
    backends = [Files(system, n + 1, 'artwork', harness.ZONES[n % 3]) for n in range(BACKENDS)]
    front = system.fronts[0]
    ends = []
    peak = 0

    async def platform():
        """Kills the process when it uses more than memory_mb, and starts it again."""
        nonlocal peak
        while True:
            process = system.processes[front]
            used = resident_mb(process.pid)
            peak = max(peak, used)
            if used > MEMORY_MB:
                record.write(f'platform: the process of {front} uses {used:.0f} MB of {MEMORY_MB} MB and is killed')
                system.kill(front)
                ends.append(used)
                await asyncio.sleep(0.5)
                system.start(front)
            await asyncio.sleep(0.005)

    async def upload(name):
        writer = None
        request = f'upload-{name}'
        record.write(f'client: sends {request}, {FILE_BYTES} bytes in chunks')
        status = 0
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000):
                reader, writer = await asyncio.open_connection(front, system.front_port)
                writer.write(f'POST /artwork/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n'
                             'Transfer-Encoding: chunked\r\n\r\n'.encode())
                for start in range(0, FILE_BYTES, CHUNK_BYTES):
                    size = min(CHUNK_BYTES, FILE_BYTES - start)
                    writer.write(f'{size:x}\r\n'.encode() + b'a' * size + b'\r\n')
                    await writer.drain()
                writer.write(b'0\r\n\r\n')
                status, _, _ = await harness.read_answer(reader)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            pass
        finally:
            if writer is not None:
                writer.close()
        record.write(f'client: {request}: status {status or "none"}')
        return status

    try:
        system.start_all()
        for it in backends:
            await it.start()
        rules = [harness.rule('r-artwork', 'upload', '/artwork/', 'artwork', 8, 2.5),
                 harness.rule('r-order', 'unsafe', '/orders/', 'artwork', 5, 0.4)]
        if await system.order('PUT', harness.configuration(7, 0, rules, ['artwork'])) != 200:
            raise harness.CannotRun('the first configuration was not accepted')
        await system.wait_ready()
        watch = asyncio.create_task(platform())
        end = record.now() + 20
        clients = [OrderClient(system, n) for n in range(ORDER_CLIENTS)]
        tasks = [asyncio.create_task(it.run(end)) for it in clients]
        await asyncio.sleep(4)  # longer than stable_window_s
        statuses = []
        for turn in range(3):
            count = int(UPLOADERS * X) if with_trouble and turn == 1 else UPLOADERS
            record.write(f'{count} clients upload at the same time')
            statuses += await asyncio.gather(*[upload(f'{turn}-{n}') for n in range(count)])
            await asyncio.sleep(0.5)
        await asyncio.gather(*tasks)
        watch.cancel()
        lost = [it for client in clients for it in client.unanswered if any(it in backend.runs for backend in backends)]
        record.write(f'uploads: {len(statuses)}, answered with 200: {statuses.count(200)}; orders: {sum(it.count for it in clients)}')
        record.write(f'memory of the front process at its peak: {peak:.0f} MB; over the limit {len(ends)} times')
        record.write(f'LOST: {len(lost)} requests of kept connections were passed on to a sound backend and not answered: {lost}')
        return len(lost) <= 3
    finally:
        for it in backends:
            await it.stop()
        system.close()


sys.exit(harness.main(case, pathlib.Path(__file__).resolve().parent))
