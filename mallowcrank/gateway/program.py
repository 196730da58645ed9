"""
The gateway process: starts all parts, serves, and shuts down gracefully.
"""

import asyncio
import os
import signal
from collections.abc import Coroutine
from dataclasses import replace
from functools import partial
from typing import Any

from mallowcrank.gateway.assembly import Parts, build_parts
from mallowcrank.gateway.caller_channel import (
    CallerChannels,
    CallerRequest,
    RequestHandler,
    ResponseWriter,
)
from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.core import Core
from mallowcrank.gateway.desired import Desired, Limits
from mallowcrank.gateway.directory import ANSWER_TTL_S
from mallowcrank.gateway.fleet import is_current
from mallowcrank.gateway.frontend import Frontend
from mallowcrank.gateway.journal import Journal
from mallowcrank.gateway.local_endpoints import LocalEndpoints
from mallowcrank.gateway.ports import Vocabulary
from mallowcrank.gateway.proxies import read_origin
from mallowcrank.gateway.reload import SettingsWatcher
from mallowcrank.gateway.settings import Address, GatewaySettings
from mallowcrank.gateway.stopping import GracePeriod
from mallowcrank.gateway.targets import Lifetime
from mallowcrank.status import ExitStatus

SWEEP_INTERVAL_S = 0.5
FLUSH_INTERVAL_S = 0.05
BACKLOG = 512  # connections that wait to be accepted
# Some callers cache an answer of the directory three times as long as its TTL.
LINGER_S = 3 * ANSWER_TTL_S + 0.4
EXIT_MARGIN_S = 0.6  # the process exits so long before the host kills it
LAST_ANSWERS_S = 0.05  # for the answers to requests that are cut
LEAVE_TIMEOUT_S = 0.5  # for leaving the store's group


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
        self._stop_requested = asyncio.Event()
        frontend = Frontend(self._core, self._parts.known)
        self._frontend = frontend
        self._front_channels = CallerChannels(
            frontend.serve,
            self._limits,
            self._record_error,
            self._core.pool.budget,
        )
        self._peer_channels = CallerChannels(
            self._serve_peer,
            self._peer_limits,
            self._record_error,
            self._core.pool.budget,
        )
        self._internal_channels: list[CallerChannels] = []
        self._servers: list[asyncio.Server] = []
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def settings(self) -> GatewaySettings:
        """
        Return the settings in force.
        """
        return self._settings

    @property
    def parts(self) -> Parts:
        """
        Return the parts of this gateway.
        """
        return self._parts

    @property
    def core(self) -> Core:
        """
        Return the services that the parts share.
        """
        return self._core

    @property
    def is_ready(self) -> bool:
        """
        Return whether this gateway accepts callers.
        """
        return self._parts.gossip.is_ready

    async def run(self, settings_path: str) -> None:
        """
        Serve until SIGTERM or SIGINT, then shut down gracefully.

        :param settings_path: settings file to reload from.
        """
        watcher = SettingsWatcher(
            settings_path,
            self._core.vocabulary,
            self._journal,
            self._apply_settings,
        )
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(self._core.errors.handle_loop_error)
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._stop_requested.set)
        loop.add_signal_handler(signal.SIGHUP, watcher.check_soon)
        await self.start()
        self._start_task(watcher.run())
        await self._stop_requested.wait()
        await self.shut_down()

    async def start(self) -> None:
        """
        Open the listeners and start the tasks of all parts.
        """
        await self._listen()
        self._start_tasks()
        self._journal.say(
            'gateway: started',
            zone=self._settings.zone,
            front=str(self._settings.listening.front),
            is_first_start=self._settings.is_first_start,
        )
        self._add_seeds()

    async def shut_down(self) -> None:
        """
        Shut down gracefully.

        The gateway leaves the directory at once. It accepts connections until
        the answers that callers cached have expired, then finishes the
        requests in flight within the grace period. Those that don't end in
        time are refused, or answered with an error at its end.
        """
        now = monotonic_s()
        deadline_at = now + self._settings.bounds.grace_s - EXIT_MARGIN_S
        self._begin_draining(GracePeriod(now, deadline_at))
        linger_until = min(deadline_at, now + LINGER_S)
        leave_task = asyncio.create_task(self._parts.duty.leave())
        await asyncio.wait((leave_task,), timeout=LEAVE_TIMEOUT_S)
        await asyncio.sleep(max(0, linger_until - monotonic_s()))
        self._servers[0].close()
        while self._has_callers() and monotonic_s() < deadline_at:
            self._front_channels.close_idle()
            await asyncio.sleep(FLUSH_INTERVAL_S)
        await self._end_requests()
        self.stop_now()

    def stop_now(self) -> None:
        """
        Stop at once: cancel all tasks and abort all connections.
        """
        for task in self._tasks:
            task.cancel()
        for server in self._servers:
            server.close()
        for channels in self._all_channels():
            channels.abort_all()
        self._core.peers.close()
        self._journal.flush()

    def _begin_draining(self, grace: GracePeriod) -> None:
        """
        Leave the directory, and ask callers and other gateways to close.
        """
        self._frontend.grace = grace
        self._parts.gossip.is_stopping = True
        for channels in (self._front_channels, self._peer_channels):
            channels.is_draining = True
        self._journal.say(
            'gateway: stopping', in_flight=self._front_channels.busy_count
        )
        self._core.peers.broadcast()

    async def _end_requests(self) -> None:
        """
        Answer the requests that are not finished at the end of the grace
        period.
        """
        self._journal.say(
            'gateway: stopped', cut=self._front_channels.busy_count
        )
        for channels in (self._front_channels, self._peer_channels):
            channels.cancel_all()
        await asyncio.sleep(LAST_ANSWERS_S)

    def _has_callers(self) -> bool:
        return bool(self._front_channels.open or self._peer_channels.busy_count)

    async def _listen(self) -> None:
        listening = self._settings.listening
        endpoints = LocalEndpoints(self._core, self._parts.gossip)
        await self._serve(listening.front, self._front_channels)
        for address, serve in (
            (listening.ready, endpoints.ready),
            (listening.directory, endpoints.directory),
            (self._settings.metrics, endpoints.metrics),
        ):
            await self._serve(address, self._add_internal_channels(serve))
        await self._serve(listening.peers, self._peer_channels)
        gossip = self._settings.gossip
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self._core.peers, local_addr=(gossip.ip, gossip.port)
        )

    async def _serve(self, address: Address, channels: CallerChannels) -> None:
        server = await asyncio.get_running_loop().create_server(
            channels.new_channel, address.ip, address.port, backlog=BACKLOG
        )
        self._servers.append(server)

    def _all_channels(self) -> tuple[CallerChannels, ...]:
        return (
            self._front_channels,
            self._peer_channels,
            *self._internal_channels,
        )

    def _add_internal_channels(self, serve: RequestHandler) -> CallerChannels:
        channels = CallerChannels(
            serve, self._limits, self._record_error, self._core.pool.budget
        )
        self._internal_channels.append(channels)
        return channels

    async def _serve_peer(
        self, request: CallerRequest, response: ResponseWriter
    ) -> None:
        """
        Serve a caller's request for another gateway, or tell it what it asks.
        """
        if read_origin(request.headers):
            await self._frontend.serve_proxied(request, response)
        else:
            await self._parts.handover.serve(request, response)

    def _peer_limits(self) -> Limits:
        """
        Return the limits on other gateways, which add headers to requests.
        """
        limits = self._limits()
        return replace(limits, header_bytes=2 * limits.header_bytes)

    def _limits(self) -> Limits:
        desired = self._parts.known.newest
        return desired.limits if desired else Limits()

    def _start_tasks(self) -> None:
        parts = self._parts
        gossip = parts.gossip
        for coroutine in (
            parts.desired.run(),
            parts.checks.run(),
            parts.targets.run(),
            parts.duty.run(),
            parts.placer.run(self._placing_generation, self._newest_desired),
            self._core.prober.run(
                gossip.engine_services,
                gossip.probing_hosts,
                gossip.is_silence_confirmed,
            ),
            self._core.proxies.reachability.run(),
            parts.handover.run(),
            self._core.peers.run(),
            self._sweep(),
            self._flush(),
        ):
            self._start_task(coroutine)

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        task.add_done_callback(self._exit_on_failure)
        self._tasks.append(task)

    def _exit_on_failure(self, task: asyncio.Task[None]) -> None:
        """
        Exit if a task has failed; the process is then restarted.
        """
        if task.cancelled() or task.exception() is None:
            return
        self._core.errors.record('task', task.exception())
        self._journal.say('gateway: a part failed', why=repr(task.exception()))
        self._journal.flush()
        os._exit(ExitStatus.ERROR)

    def _record_error(self, request: CallerRequest, error: Exception) -> None:
        self._core.errors.record('endpoint', error, path=request.path)

    def _placing_generation(self) -> int:
        return self._parts.gossip.leader_generation

    def _newest_desired(self) -> Desired | None:
        return self._parts.known.newest

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            for channels in self._all_channels():
                channels.sweep()
            self._core.pool.sweep()
            now = monotonic_s()
            self._core.fleet.drop_lapsed(now)
            self._measure_views(now)
            self._core.limits.forget_missing(
                partial(is_current, self._core.fleet)
            )
            self._core.permits.update(self.is_ready)
            self._core.suspects.drop_survived(self._is_alive)
            self._core.suspects.update()
            self._parts.gossip.log_view()

    def _measure_views(self, now: float) -> None:
        """
        Set the metrics of how old this gateway's views are.

        :param now: monotonic time in seconds.
        """
        meters = self._core.meters
        known = self._parts.known
        meters.entries_age_s.set(now - self._core.fleet.entries_read_at)
        meters.held_bytes.set(self._core.pool.budget.held_bytes)
        meters.desired_version.set(known.version)
        meters.desired_age_s.set(now - known.confirmed_at)

    def _is_alive(self, lifetime: Lifetime) -> bool:
        return not self._core.has_ended(lifetime)

    async def _flush(self) -> None:
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            self._journal.flush()

    def _apply_settings(self, settings: GatewaySettings) -> None:
        """
        Apply reloaded settings; listen addresses stay until the next start.
        """
        self._settings = settings
        self._core.apply_settings(settings)
        self._add_seeds()

    def _add_seeds(self) -> None:
        port = self._settings.gossip.port
        self._core.peers.add_candidates(
            Address(seed.ip, port) for seed in self._settings.seeds
        )
