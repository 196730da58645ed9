"""
A gateway's life: start all parts, serve, and stop gracefully.
"""

import asyncio
import os
import secrets
import signal
from collections.abc import Coroutine
from http import HTTPStatus
from pathlib import Path
from random import Random
from typing import Any

from mallowcrank.chains.budget import RetryWindows
from mallowcrank.chains.memory import MemoryLedger, Told
from mallowcrank.findings import format_findings
from mallowcrank.gateway.caller_channel import (
    Answer,
    CallerRequest,
    Channels,
    Serve,
)
from mallowcrank.gateway.core import JSON, Core
from mallowcrank.gateway.desired import Desired, Limits
from mallowcrank.gateway.directory import KEEP_S, fronts_for
from mallowcrank.gateway.duty import Duty, member_name, takes_over
from mallowcrank.gateway.fleet import Fleet
from mallowcrank.gateway.followers import (
    DesiredFollower,
    KnownDesired,
    TargetsFollower,
)
from mallowcrank.gateway.front import Front
from mallowcrank.gateway.handover import Handover
from mallowcrank.gateway.journal import Journal
from mallowcrank.gateway.meters import Meters
from mallowcrank.gateway.peers import Peers, Word
from mallowcrank.gateway.placing import Placer
from mallowcrank.gateway.ports import Vocabulary
from mallowcrank.gateway.prober import Prober
from mallowcrank.gateway.settings import Address, GatewaySettings
from mallowcrank.gateway.steady import steady
from mallowcrank.gateway.store_link import StoreLink
from mallowcrank.gateway.target_channel import TargetPool
from mallowcrank.overload.returning import ReturnTimes
from mallowcrank.status import ExitStatus

INCARNATION_BYTES = 4
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
        self, settings: GatewaySettings, vocabulary: Vocabulary
    ) -> None:
        self._settings = settings
        self._vocabulary = vocabulary
        self._incarnation = secrets.token_hex(INCARNATION_BYTES)
        self._journal = Journal(settings.host)
        self._meters = Meters()
        self._is_stopping = False
        self._stop = asyncio.Event()
        random = Random()
        fleet = Fleet(self._journal)
        pool = TargetPool()
        prober = Prober(fleet, pool, vocabulary, self._meters)
        self._link = StoreLink(settings.store, self._journal, self._meters)
        self._known = KnownDesired(vocabulary, self._journal)
        self._core = Core(
            settings=settings,
            vocabulary=vocabulary,
            journal=self._journal,
            meters=self._meters,
            random=random,
            fleet=fleet,
            ledger=MemoryLedger(),
            windows=RetryWindows(settings.bounds),
            pool=pool,
            prober=prober,
            peers=Peers(settings, self._journal, self._word),
            returns=ReturnTimes(),
        )
        self._core.peers.on_word = self._hear
        self._desired = DesiredFollower(
            self._known, self._link, vocabulary, random
        )
        self._targets = TargetsFollower(fleet, self._link, vocabulary, random)
        self._duty = Duty(
            settings,
            member_name(settings, self._incarnation),
            self._link,
            vocabulary,
            self._core.peers,
            self._journal,
        )
        self._placer = Placer(
            fleet, pool, prober, vocabulary, self._journal, self._meters
        )
        self._handover = Handover(
            self._core, self._known, self._desired, self._targets
        )
        self._fronts = self._channels(Front(self._core, self._known).serve)
        self._others: list[Channels] = []
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def is_ready(self) -> bool:
        """
        Return whether callers should come.
        """
        return (
            not self._is_stopping
            and self._known.newest is not None
            and len(self._core.fleet) > 0
        )

    async def run(self) -> None:
        """
        Serve until a signal asks to stop.
        """
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop.set)
        loop.add_signal_handler(signal.SIGINT, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._hang_up)
        front = await self._listen()
        self._start_tasks()
        self._journal.say(
            'gateway: started',
            incarnation=self._incarnation,
            zone=self._settings.zone,
            front=str(self._settings.listening.front),
        )
        self._core.peers.hint(self._seeds())
        await self._stop.wait()
        await self._leave(front)

    async def _listen(self) -> asyncio.Server:
        listening = self._settings.listening
        front = await self._serve(listening.front, self._fronts)
        for address, serve in (
            (listening.ready, self._serve_ready),
            (listening.directory, self._serve_directory),
            (listening.peers, self._handover.serve),
            (self._settings.metrics, self._serve_metrics),
        ):
            channels = self._channels(serve)
            self._others.append(channels)
            await self._serve(address, channels)
        gossip = self._settings.gossip
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self._core.peers, local_addr=(gossip.ip, gossip.port)
        )
        return front

    async def _serve(
        self, address: Address, channels: Channels
    ) -> asyncio.Server:
        return await asyncio.get_running_loop().create_server(
            channels.make, address.ip, address.port, backlog=BACKLOG
        )

    def _channels(self, serve: Serve) -> Channels:
        return Channels(serve, self._limits)

    def _limits(self) -> Limits:
        known = self._known.newest
        return known.limits if known else Limits()

    def _start_tasks(self) -> None:
        peers = self._core.peers
        for step in (
            self._desired.run(),
            self._targets.run(),
            self._duty.run(),
            self._placer.run(self._holding, self._newest),
            self._core.prober.run(self._engine_services, self._routers),
            self._handover.run(),
            peers.run(),
            self._sweep(),
            self._flush(),
        ):
            self._start_task(step)

    def _start_task(self, step: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(step)
        task.add_done_callback(self._check)
        self._tasks.append(task)

    def _check(self, task: asyncio.Task[None]) -> None:
        if task.cancelled() or task.exception() is None:
            return
        self._journal.say('gateway: a part failed', why=repr(task.exception()))
        self._journal.flush()
        os._exit(ExitStatus.ERROR)

    async def _leave(self, front: asyncio.Server) -> None:
        until = steady() + self._settings.bounds.grace_s - EXIT_MARGIN_S
        self._is_stopping = True
        self._fronts.is_leaving = True
        self._journal.say('gateway: stopping', in_flight=self._fronts.busy)
        self._core.peers.tell_all()
        listen_until = min(until, steady() + LISTEN_S)
        leaving = asyncio.create_task(self._duty.leave())
        await asyncio.wait((leaving,), timeout=LEAVE_S)
        await asyncio.sleep(max(0, listen_until - steady()))
        front.close()
        while self._fronts.open and steady() < until:
            self._fronts.close_idle()
            await asyncio.sleep(FLUSH_S)
        self._journal.say('gateway: stopped', cut=self._fronts.busy)
        self._journal.flush()

    def _word(self) -> Word:
        listening = self._settings.listening
        return Word(
            host=self._settings.host,
            incarnation=self._incarnation,
            zone=self._settings.zone,
            front=listening.front,
            gossip=self._settings.gossip,
            peers=listening.peers,
            takes_callers=self.is_ready,
            desired_version=self._known.version,
            holding=self._duty.holding,
            reserved=self._core.ledger.own(),
            silent=tuple(
                lifetime.identity for lifetime in self._core.fleet.seen.dead()
            ),
            paces=self._core.fleet.seen.slow(steady()),
            layers=self._core.fleet.seen.learned(steady()),
        )

    def _hear(self, word: Word) -> None:
        self._core.ledger.hear(word.host, Told(steady(), word.reserved))
        self._duty.hear(word)
        for identity, pace in word.paces.items():
            target = self._core.fleet.find(identity)
            if target:
                self._core.fleet.seen.hear_pace(target.lifetime, pace, steady())
        for identity, held in word.layers.items():
            self._core.fleet.learn_layers(
                identity, held, steady(), told_me=False
            )
        for identity in word.silent:
            target = self._core.fleet.find(identity)
            if target:
                self._core.prober.suspect((target.lifetime,))

    def _seeds(self) -> list[Address]:
        port = self._settings.gossip.port
        return [Address(seed.ip, port) for seed in self._settings.seeds]

    def _holding(self) -> int:
        if self._is_stopping:
            return 0
        lost_at = self._link.lost_at
        if self._duty.holding or lost_at is None:
            return self._duty.holding
        others = [peer.word for peer in self._core.peers.live()]
        mine = self._settings.host
        return int(takes_over(mine, others, steady() - lost_at))

    def _newest(self) -> Desired | None:
        return self._known.newest

    def _engine_services(self) -> list[str]:
        known = self._known.newest
        services = known.services.values() if known else ()
        return [service.name for service in services if service.engine]

    def _routers(self) -> tuple[str, list[str]]:
        mine = self._settings.host
        live = [peer.word.host for peer in self._core.peers.live()]
        return mine, [mine, *live]

    async def _serve_ready(
        self, request: CallerRequest, answer: Answer
    ) -> None:
        if request.path != self._vocabulary.ready_path:
            answer.send(HTTPStatus.NOT_FOUND, (), b'')
        elif self.is_ready:
            answer.send(HTTPStatus.OK, (), b'')
        else:
            answer.send(HTTPStatus.SERVICE_UNAVAILABLE, (), b'')

    async def _serve_directory(
        self, request: CallerRequest, answer: Answer
    ) -> None:
        if request.path != self._vocabulary.directory_path:
            answer.send(HTTPStatus.NOT_FOUND, (), b'')
            return
        words = [peer.word for peer in self._core.peers.live()]
        taking = [word for word in (self._word(), *words) if word.takes_callers]
        fronts = fronts_for(
            self._vocabulary.caller_zone(request.query),
            dict(self._settings.regions),
            taking,
        )
        if not fronts:
            answer.send(HTTPStatus.SERVICE_UNAVAILABLE, (), b'')
            return
        body = self._vocabulary.directory_answer(fronts, KEEP_S)
        answer.send(HTTPStatus.OK, (JSON,), body)

    async def _serve_metrics(
        self, request: CallerRequest, answer: Answer
    ) -> None:
        kind = (b'Content-Type', b'text/plain; version=0.0.4')
        answer.send(HTTPStatus.OK, (kind,), self._meters.text())

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_S)
            for channels in (self._fronts, *self._others):
                channels.sweep()
            self._core.pool.sweep()

    async def _flush(self) -> None:
        while True:
            await asyncio.sleep(FLUSH_S)
            self._journal.flush()

    def _hang_up(self) -> None:
        self._journal.say('gateway: settings read again')


def read_settings_file(
    path: str, vocabulary: Vocabulary
) -> GatewaySettings | str:
    """
    Read the settings file.

    :returns: all that is wrong, as text, where something is.
    """
    try:
        text = Path(path).read_text(encoding='utf-8')
    except OSError as error:
        return f'{path}: {error.strerror}'
    read = vocabulary.read_settings(text)
    if isinstance(read, GatewaySettings):
        return read
    return format_findings(read)
