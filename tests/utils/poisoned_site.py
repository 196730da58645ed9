"""
Sites whose targets crash under requests with a certain part or body.
"""

import asyncio
from collections import Counter
from random import Random

from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.platform.standins.in_process import InProcessPlatform

DEADLY = 'deadbeef'
RESTART_S = 1.5
WATCH_INTERVAL_S = 0.05
ENGINE_COUNT = 8
FIRST_PART = '0c0ffee0'  # of all prompts


class PoisonedSite:
    """
    Gateways before engines that hold the whole model each.
    """

    def __init__(self, gateways, random_seed=1):
        self.world = InProcessPlatform()
        self.gateways = []
        self.statuses = Counter()
        self.poisoned_statuses = Counter()
        self._size = gateways
        self._random = Random(random_seed)
        self._numbers = 0
        self._tasks = set()

    async def start(self):
        asyncio.get_running_loop().set_debug(enabled=False)
        await self.world.start_store()
        await self.start_targets()
        first = await self.world.start_gateway()
        seeds = (str(first.settings.listening.peers),)
        self.gateways = [first]
        for _ in range(1, self._size):
            self.gateways.append(await self.world.start_gateway(seeds=seeds))
        await self.world.wait_for(
            lambda: all(
                len(gateway.core.peers.live()) == self._size - 1
                for gateway in self.gateways
            )
        )
        self.spawn(self._restart_engines())

    async def start_targets(self):
        await self.world.start_engines(*((0, 80) for _ in range(ENGINE_COUNT)))

    async def close(self):
        for task in self._tasks:
            task.cancel()
        await self.world.close()

    @property
    def engines(self):
        return list(self.world.replicas.values())

    @property
    def crashes(self):
        return sum(engine.crashes for engine in self.engines)

    @property
    def poisoned_runs(self):
        """
        Return the ids of the requests with the deadly part that were run.
        """
        return [
            run.request
            for engine in self.engines
            for run in engine.runs
            if DEADLY.encode()
            in dict(run.headers)[b'mallowcrank-prompt-prefix']
        ]

    def poison(self, *parts):
        for engine in self.engines:
            engine.deadly_parts = set(parts or (DEADLY,))

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def load(self, seconds, rate=20, poisoned_share=0.1):
        """
        Send prompts at a steady rate to gateways at random.
        """
        started_at = monotonic_s()
        sent = []
        for number in range(int(seconds * rate)):
            due_at = started_at + number / rate
            await asyncio.sleep(max(0, due_at - monotonic_s()))
            is_poisoned = self._random.random() < poisoned_share
            sent.append(asyncio.create_task(self.send(is_poisoned)))
        await asyncio.gather(*sent)

    async def send(self, is_poisoned, gateway=None):
        self._numbers += 1
        middle = DEADLY if is_poisoned else f'a{self._random.randrange(12)}'
        prompt = f'{FIRST_PART}:40,{middle}:300,f{self._numbers}:400'
        response = await self.world.fetch(
            gateway or self._random.choice(self.gateways),
            '/draft/x',
            Mallowcrank_Token_Count='740,200',
            Mallowcrank_Model='m',
            Mallowcrank_Prompt_Prefix=prompt,
        )
        counts = self.poisoned_statuses if is_poisoned else self.statuses
        counts[response.status if response.is_complete else 'cut'] += 1
        return response

    async def _restart_engines(self):
        while True:
            await asyncio.sleep(WATCH_INTERVAL_S)
            for engine in self.engines:
                crashed_at = engine.crashed_at
                if crashed_at and monotonic_s() - crashed_at > RESTART_S:
                    engine.crashed_at = None
                    engine.born += 1
                    await engine.server.start(engine.address)
                    self.world.register(engine.identity)


class DeadlyRequestSite(PoisonedSite):
    """
    Gateways before targets that crash under repetitions of some requests.

    :param route: `lookup` and `claim` are of a plain service, `draft` streams.
    """

    def __init__(self, gateways, route='lookup', random_seed=1):
        super().__init__(gateways, random_seed)
        self.route = route
        self.deadly = (b'deadly',)
        self.events_before_crash = 0

    @property
    def deadly_runs(self):
        """
        Return the runs of deadly requests at all targets, the oldest first.
        """
        runs = [
            run
            for target in self.engines
            for run in target.runs
            if run.body in self.deadly
        ]
        return sorted(runs, key=lambda run: run.at)

    def late_runs(self, body, within_s):
        """
        Return the runs of a deadly request that came later than some seconds
        after the third one.
        """
        times = [run.at for run in self.deadly_runs if run.body == body]
        return [at for at in times[3:] if at > times[2] + within_s]

    async def start_targets(self):
        if self.route == 'draft':
            await super().start_targets()
            return
        for number in range(ENGINE_COUNT):
            await self.world.start_replica(f's{number}', 'stock')

    def poison(self, *bodies):
        self.deadly = bodies or self.deadly
        for target in self.engines:
            target.deadly_bodies = set(self.deadly)
            target.events_before_crash = self.events_before_crash

    async def send(self, is_poisoned, gateway=None):
        self._numbers += 1
        kind = self._random.randrange(12)
        body = f'order {kind} {self._numbers % 40}'.encode()
        own_part = f'f{self._numbers}'
        if is_poisoned:
            body = self._random.choice(self.deadly)
            own_part = body.hex()
        headers = {}
        if self.route == 'draft':
            headers = {
                'Mallowcrank_Token_Count': '740,200',
                'Mallowcrank_Prompt_Prefix': (
                    f'{FIRST_PART}:40,a{kind}:300,{own_part}:400'
                ),
            }
        response = await self.world.fetch(
            gateway or self._random.choice(self.gateways),
            f'/{self.route}/x',
            'POST',
            body,
            **headers,
        )
        counts = self.poisoned_statuses if is_poisoned else self.statuses
        counts[response.status if response.is_complete else 'cut'] += 1
        return response
