"""
A gateway's life: start all parts, serve, and stop gracefully.
"""

import asyncio
import os
import signal
from collections.abc import Coroutine
from typing import Any

from mallowcrank.gateway.assembly import Parts, build_parts
from mallowcrank.gateway.caller_channel import CallerChannels, RequestHandler
from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.core import Core
from mallowcrank.gateway.desired import Desired, Limits
from mallowcrank.gateway.directory import ANSWER_TTL_S
from mallowcrank.gateway.frontend import Frontend
from mallowcrank.gateway.journal import Journal
from mallowcrank.gateway.local_endpoints import LocalEndpoints
from mallowcrank.gateway.ports import Vocabulary
from mallowcrank.gateway.reload import SettingsWatcher
from mallowcrank.gateway.settings import Address, GatewaySettings
from mallowcrank.status import ExitStatus

SWEEP_S = 0.5
FLUSH_S = 0.05
BACKLOG = 512  # channels that wait to be accepted
# Callers keep a directory's answer three times as long as it says.
LISTEN_S = 3 * ANSWER_TTL_S + 0.4
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
        front = Frontend(self._core, self._parts.known)
        self._fronts = CallerChannels(front.serve, self._limits)
        self._others: list[CallerChannels] = []
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
        watch = SettingsWatcher(
            settings_path,
            self._core.vocabulary,
            self._journal,
            self._take_settings,
        )
        loop = asyncio.get_running_loop()
        for asking in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(asking, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, watch.check_soon)
        await self.start()
        self._start_task(watch.run())
        await self._stop.wait()
        await self.shut_down()

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

    async def shut_down(self) -> None:
        """
        Stop gracefully: out of the directory at once, and out of the way when
        the callers that know this gateway have gone elsewhere.
        """
        until = monotonic_s() + self._settings.bounds.grace_s - EXIT_MARGIN_S
        self._parts.gossip.is_stopping = True
        self._fronts.is_draining = True
        self._journal.say(
            'gateway: stopping', in_flight=self._fronts.busy_count
        )
        self._core.peers.tell_all()
        listen_until = min(until, monotonic_s() + LISTEN_S)
        leaving = asyncio.create_task(self._parts.duty.leave())
        await asyncio.wait((leaving,), timeout=LEAVE_S)
        await asyncio.sleep(max(0, listen_until - monotonic_s()))
        self._servers[0].close()
        while self._fronts.open and monotonic_s() < until:
            self._fronts.close_idle()
            await asyncio.sleep(FLUSH_S)
        self._journal.say('gateway: stopped', cut=self._fronts.busy_count)
        self.stop_now()

    def stop_now(self) -> None:
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
        answers = LocalEndpoints(self._core, self._parts.gossip)
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

    async def _serve(self, address: Address, channels: CallerChannels) -> None:
        server = await asyncio.get_running_loop().create_server(
            channels.new_channel, address.ip, address.port, backlog=BACKLOG
        )
        self._servers.append(server)

    def _other(self, serve: RequestHandler) -> CallerChannels:
        channels = CallerChannels(serve, self._limits)
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
            self._core.prober.run(gossip.engine_services, gossip.routers),
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
        return self._parts.gossip.holding

    def _newest(self) -> Desired | None:
        return self._parts.known.newest

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            for channels in (self._fronts, *self._others):
                channels.sweep()
            self._core.pool.sweep()
            self._core.fleet.drop_lapsed(monotonic_s())

    async def _flush(self) -> None:
        while True:
            await asyncio.sleep(FLUSH_S)
            self._journal.flush()

    def _take_settings(self, settings: GatewaySettings) -> None:
        """
        Take in changed settings; addresses stay until the next start.
        """
        self._settings = settings
        self._core.apply_settings(settings)
        self._hint_seeds()

    def _hint_seeds(self) -> None:
        port = self._settings.gossip.port
        self._core.peers.hint(
            Address(seed.ip, port) for seed in self._settings.seeds
        )
