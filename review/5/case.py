"""A core machine that has lost its disk is killed while it creates its files; later another core machine loses its disk."""
import asyncio
import os
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import harness

CATCH_UP_S = 4
DOWN_S = 1.0
RECOVERY_S = 15
TRIES = 4


class Platform:
    """Restarts a process that has ended, as the platform does."""

    def __init__(self, system):
        self.system = system
        self.held_down = set()
        self.ends = {it: 0 for it in system.core}

    async def run(self):
        while True:
            for host in self.system.core:
                process = self.system.processes[host]
                if host not in self.held_down and process.poll() is not None:
                    self.ends[host] += 1
                    if self.ends[host] <= 5:
                        self.system.record.write(f'platform: the process of {host} had ended with status {process.returncode}; started again')
                    self.system.start(host)
            await asyncio.sleep(0.3)

    async def lose_disk(self, host):
        self.system.record.write(f'disruption: {host} loses power and its disk')
        self.held_down.add(host)
        self.system.kill(host)
        await asyncio.sleep(DOWN_S)
        self.system.wipe(host)

    def come_back(self, host):
        self.system.start(host)
        self.held_down.discard(host)
        self.system.record.write(f'platform: {host} is back with an empty disk')


def kill_while_creating_files(system, host):
    """Waits for the file "log" of a new store and kills the process. Returns whether the store was left without its identity."""
    folder = system.data_dir(host)
    log, identity = str(folder / 'log'), str(folder / 'identity')
    process = system.processes[host]
    end = time.monotonic() + 5
    while not os.path.exists(log):
        if time.monotonic() > end:
            return False
    process.send_signal(signal.SIGKILL)
    process.wait()
    return not os.path.exists(identity)


async def case(record, with_trouble):
    with_kill = os.environ.get('KILL', '1') != '0'
    system = harness.System(record, fronts=1)
    platform = Platform(system)
    watch = None
    rules = [harness.rule('r-order', 'unsafe', '/orders/', 'order-desk', 1.5, 0.4)]
    a, b, c = system.core
    try:
        system.start_all()
        if await system.order('PUT', harness.configuration(7, 0, rules, ['order-desk'])) != 200:
            raise harness.CannotRun('the first configuration was not accepted')
        watch = asyncio.create_task(platform.run())
        await asyncio.sleep(5)
        if with_trouble:
            for attempt in range(TRIES):
                await platform.lose_disk(a)
                if not with_kill:
                    platform.come_back(a)
                    break
                system.start(a)
                is_hit = await asyncio.to_thread(kill_while_creating_files, system, a)
                record.write(f'disruption: the process of {a} is killed as it starts; files: {sorted(os.listdir(system.data_dir(a)))}')
                platform.held_down.discard(a)
                if is_hit:
                    break
                await asyncio.sleep(CATCH_UP_S + 3)
            else:
                raise harness.CannotRun('no kill fell into the creation of the files')
            await asyncio.sleep(CATCH_UP_S + 6)  # a is no longer counted as lost
            record.write(f'{a}: its process has ended by itself {platform.ends[a]} times')
        status = await system.order('PUT', harness.configuration(9, 7, rules, ['order-desk']))
        if status != 200:
            raise harness.CannotRun('the second configuration was not accepted')
        if with_trouble:
            await platform.lose_disk(b)
            platform.come_back(b)
        end = record.now() + RECOVERY_S + 15
        newest = None
        reads = []
        while record.now() < end and newest != '00000009':
            for host in system.core:
                status, version = await system.read_config(host)
                reads.append(f'{host}: {status} {version or ""}')
                newest = version or newest
            await asyncio.sleep(0.5)
        for it in reads[-6:]:
            record.write(f'operator: read {it}')
        for host in system.core:
            errors = [it for it in system.log_text(host).splitlines() if 'StoreCorrupt' in it]
            if errors:
                record.write(f'{host}: {len(errors)} times on standard error: {errors[-1]}')
        record.write(f'CONFIG: acknowledged 00000009, read back {newest}')
        return newest == '00000009'
    finally:
        if watch is not None:
            watch.cancel()
        system.close()


sys.exit(harness.main(case, pathlib.Path(__file__).resolve().parent / 'record.txt'))
