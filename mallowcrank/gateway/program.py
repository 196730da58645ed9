"""
A gateway's life: start all parts, serve, and stop gracefully.
"""

import asyncio
import os
import signal
from collections.abc import Coroutine
from typing import Any

from mallowcrank.gateway.assembly import Parts, build_parts
from mallowcrank.gateway.caller_channel import Channels, Serve
from mallowcrank.gateway.core import Core
from mallowcrank.gateway.desired import Desired, Limits
from mallowcrank.gateway.directory import KEEP_S
from mallowcrank.gateway.front import Front
from mallowcrank.gateway.journal import Journal
from mallowcrank.gateway.local_answers import LocalAnswers
from mallowcrank.gateway.ports import Vocabulary
from mallowcrank.gateway.reload import SettingsWatch
from mallowcrank.gateway.settings import Address, GatewaySettings
from mallowcrank.gateway.steady import steady
from mallowcrank.status import ExitStatus

SWEEP_S = 0.5
FLUSH_S = 0.05
BACKLOG = 512  # channels that wait to be accepted
# Callers keep a directory's answer three times as long as it says.
LISTEN_S = 3 * KEEP_S + 0.4
EXIT_MARGIN_S = 0.6  # before the host kills the process
LEAVE_S = 0.5  # for word to the store


class Gateway:
    """
    One gateway process.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        vocabulary: Vocabulary,
        journal: Journal,
    ) -> None:
        self._settings = settings
        self._journal = journal
        self._parts = build_parts(settings, vocabulary, journal)
        self._core = self._parts.core
        self._stop = asyncio.Event()
        front = Front(self._core, self._parts.known)
        self._fronts = Channels(front.serve, self._limits)
        self._others: list[Channels] = []
        self._servers: list[asyncio.Server] = []
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def settings(self) -> GatewaySettings:
        """
        Return its settings.
        """
        return self._settings

    @property
    def parts(self) -> Parts:
        """
        Return its parts.
        """
        return self._parts

    @property
    def core(self) -> Core:
        """
        Return what its parts share.
        """
        return self._core

    @property
    def is_ready(self) -> bool:
        """
        Return whether callers should come.
        """
        return self._parts.gossip.is_ready

    async def run(self, settings_path: str) -> None:
        """
        Serve until a signal asks to stop.

        :param settings_path: the file that the settings were read from.
        """
        watch = SettingsWatch(
            settings_path,
            self._core.vocabulary,
            self._journal,
            self._take_settings,
        )
        loop = asyncio.get_running_loop()
        for asking in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(asking, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, watch.ask)
        await self.start()
        self._start_task(watch.run())
        await self._stop.wait()
        await self.leave()

    async def start(self) -> None:
        """
        Listen, and start all parts.
        """
        await self._listen()
        self._start_tasks()
        self._journal.say(
            'gateway: started',
            zone=self._settings.zone,
            front=str(self._settings.listening.front),
        )
        self._hint_seeds()

    async def leave(self) -> None:
        """
        Stop gracefully: out of the directory at once, and out of the way when
        the callers that know this gateway have gone elsewhere.
        """
        until = steady() + self._settings.bounds.grace_s - EXIT_MARGIN_S
        self._parts.gossip.is_stopping = True
        self._fronts.is_leaving = True
        self._journal.say('gateway: stopping', in_flight=self._fronts.busy)
        self._core.peers.broadcast()
        listen_until = min(until, steady() + LISTEN_S)
        leaving = asyncio.create_task(self._parts.duty.leave())
        await asyncio.wait((leaving,), timeout=LEAVE_S)
        await asyncio.sleep(max(0, listen_until - steady()))
        self._servers[0].close()
        while self._fronts.open and steady() < until:
            self._fronts.close_idle()
            await asyncio.sleep(FLUSH_S)
        self._journal.say('gateway: stopped', cut=self._fronts.busy)
        self.halt()

    def halt(self) -> None:
        """
        Stop at once.
        """
        for task in self._tasks:
            task.cancel()
        for server in self._servers:
            server.close()
        for channels in (self._fronts, *self._others):
            channels.abort_all()
        self._core.peers.close()
        self._journal.flush()

    async def _listen(self) -> None:
        listening = self._settings.listening
        answers = LocalAnswers(self._core, self._parts.gossip)
        await self._serve(listening.front, self._fronts)
        for address, serve in (
            (listening.ready, answers.ready),
            (listening.directory, answers.directory),
            (listening.peers, self._parts.handover.serve),
            (self._settings.metrics, answers.metrics),
        ):
            await self._serve(address, self._other(serve))
        gossip = self._settings.gossip
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self._core.peers, local_addr=(gossip.ip, gossip.port)
        )

    async def _serve(self, address: Address, channels: Channels) -> None:
        server = await asyncio.get_running_loop().create_server(
            channels.make, address.ip, address.port, backlog=BACKLOG
        )
        self._servers.append(server)

    def _other(self, serve: Serve) -> Channels:
        channels = Channels(serve, self._limits)
        self._others.append(channels)
        return channels

    def _limits(self) -> Limits:
        known = self._parts.known.newest
        return known.limits if known else Limits()

    def _start_tasks(self) -> None:
        parts = self._parts
        gossip = parts.gossip
        for step in (
            parts.desired.run(),
            parts.targets.run(),
            parts.duty.run(),
            parts.placer.run(self._holding, self._newest),
            self._core.prober.run(gossip.engine_services, gossip.live_hosts),
            parts.handover.run(),
            self._core.peers.run(),
            self._sweep(),
            self._flush(),
        ):
            self._start_task(step)

    def _start_task(self, step: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(step)
        task.add_done_callback(self._check)
        self._tasks.append(task)

    def _check(self, task: asyncio.Task[None]) -> None:
        """
        End the process where a part has failed: it is started anew.
        """
        if task.cancelled() or task.exception() is None:
            return
        self._journal.say('gateway: a part failed', why=repr(task.exception()))
        self._journal.flush()
        os._exit(ExitStatus.ERROR)

    def _holding(self) -> int:
        return self._parts.gossip.leader_generation

    def _newest(self) -> Desired | None:
        return self._parts.known.newest

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            for channels in (self._fronts, *self._others):
                channels.sweep()
            self._core.pool.sweep()
            self._core.fleet.drop_lapsed(steady())

    async def _flush(self) -> None:
        while True:
            await asyncio.sleep(FLUSH_S)
            self._journal.flush()

    def _take_settings(self, settings: GatewaySettings) -> None:
        """
        Take in changed settings; addresses stay until the next start.
        """
        self._settings = settings
        self._core.take_settings(settings)
        self._hint_seeds()

    def _hint_seeds(self) -> None:
        port = self._settings.gossip.port
        self._core.peers.add_candidates(
            Address(seed.ip, port) for seed in self._settings.seeds
        )
