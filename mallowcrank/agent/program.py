"""
The agent daemon: builds, starts and stops its parts.
"""

import threading
from contextlib import ExitStack
from typing import Any

from pykka import ActorRegistry

from mallowcrank.agent.admin import AdminContext, AdminPages
from mallowcrank.agent.cluster_parts import ClusterParts, build_cluster_parts
from mallowcrank.agent.feed import FeedActor, FeedServer
from mallowcrank.agent.loops import (
    FeedHeartbeat,
    GaugeReporter,
    LogFollower,
    Loop,
    MembershipNotifier,
    SettingsFetcher,
    SnapshotWriter,
)
from mallowcrank.agent.messages import (
    RECORD_TOPIC,
    TREE_TOPIC,
    RecordMessage,
    TreeQuestion,
)
from mallowcrank.agent.ports import Body
from mallowcrank.agent.settings import SettingsActor, SettingsDependencies
from mallowcrank.clock import HybridClock
from mallowcrank.codec import from_plain, to_plain
from mallowcrank.context import Environment
from mallowcrank.leases.endpoints import LeaseEndpoints
from mallowcrank.logs import PartLog
from mallowcrank.platform.log import HttpLog
from mallowcrank.ports import LogPage
from mallowcrank.settings import AgentSettings
from mallowcrank.stop_signals import handle_stop_signals
from mallowcrank.timeline import Timeline
from mallowcrank.web import Routes, WebServer

ADMIN_THREADS = 4
log = PartLog('agent')


class SettingsSink:
    """
    Passes the log to the `SettingsActor`.
    """

    def __init__(self, settings: Any) -> None:
        self._settings = settings

    def apply_page(self, page: LogPage) -> None:
        """
        Pass a page on and wait until it is folded.
        """
        self._settings.apply_page(page).get()

    def apply_outage(self, reason: str) -> None:
        """
        Pass an outage on, without waiting.
        """
        self._settings.apply_outage.defer(reason)


class Agent:
    """
    The agent daemon.

    :param cluster_parts: membership, gossip and orders; built from the
        settings by default, replaced in tests.
    """

    def __init__(
        self,
        settings: AgentSettings,
        environment: Environment,
        timeline: Timeline | None = None,
        cluster_parts: ClusterParts | None = None,
    ) -> None:
        self._settings = settings
        self._environment = environment
        self._timeline = timeline or Timeline(
            settings.host_settings.host, HybridClock(environment.clock)
        )
        self._cluster = cluster_parts or build_cluster_parts(
            settings, environment, self._timeline
        )
        self._incarnation = f'{environment.random.getrandbits(48):012x}'
        self._stopping = threading.Event()
        self._feed_ref = FeedActor.start(self._cluster.membership)
        self._feed = self._feed_ref.proxy()
        self._settings_ref = SettingsActor.start(
            SettingsDependencies(
                gossip=self._cluster.gossip,
                clock=environment.clock,
                timeline=self._timeline,
                feed=self._feed,
            )
        )
        self._settings_proxy = self._settings_ref.proxy()
        self._feed_server = FeedServer(
            settings.feed,
            settings.keys,
            self._feed,
            self._cluster.membership.apply_report,
        )
        self._admin = WebServer(settings.admin, self._routes(), ADMIN_THREADS)
        self._loops = self._build_loops()

    @property
    def settings_actor(self) -> Any:
        """
        Return a proxy of the `SettingsActor`.
        """
        return self._settings_proxy

    def run(self) -> None:
        """
        Run until a graceful shutdown is complete.

        :raises OSError: when an address can't be bound.
        """
        handle_stop_signals(self.drain)
        try:
            self.start()
        except OSError:
            # Otherwise the actors' threads would keep the process alive.
            ActorRegistry.stop_all()
            raise
        self._stopping.wait()
        self.stop()

    def start(self) -> None:
        """
        Start all parts.

        :raises OSError: when an address can't be bound.
        """
        self._connect_gossip()
        with ExitStack() as started:
            self._feed_server.start()
            started.callback(self._feed_server.stop)
            self._admin.start()
            # Otherwise the server's threads would keep the process alive.
            started.callback(self._admin.stop)
            self._cluster.membership.start()
            started.pop_all()
        self._cluster.orders.start()
        for loop in self._loops:
            loop.start()
        log.say('The agent started.', incarnation=self._incarnation)

    def drain(self) -> None:
        """
        Start a graceful shutdown.
        """
        self._stopping.set()

    def stop(self) -> None:
        """
        Announce the shutdown to peers, and stop all parts.
        """
        log.say('The agent is stopping.')
        self._cluster.membership.announce_leaving()
        for loop in self._loops:
            loop.stop()
        self._feed_server.stop()
        self._feed.close().get()
        self._cluster.orders.stop()
        self._cluster.membership.stop()
        self._admin.stop()
        self._settings_ref.stop()
        self._feed_ref.stop()

    def _routes(self) -> Routes:
        routes = AdminPages(self._admin_context()).routes()
        LeaseEndpoints(self._cluster.orders).add_to(routes)
        return routes

    def _admin_context(self) -> AdminContext:
        return AdminContext(
            settings=self._settings,
            incarnation=self._incarnation,
            settings_actor=self._settings_proxy,
            feed=self._feed,
            membership=self._cluster.membership,
            timeline=self._timeline,
            drain=self.drain,
            is_leaving=self._stopping.is_set,
        )

    def _build_loops(self) -> tuple[Loop, ...]:
        cluster = self._cluster
        platform_log = HttpLog(self._settings.log)
        sinks = (SettingsSink(self._settings_proxy), cluster.orders)
        notifier = MembershipNotifier(self._feed)
        cluster.membership.on_change(notifier.mark_changed)
        jobs = {
            'log': LogFollower(platform_log, sinks, self._environment.random),
            'peers': SettingsFetcher(
                self._settings_proxy, cluster.gossip, self._environment.random
            ),
            'snapshots': SnapshotWriter(
                self._settings.host_settings.host,
                self._settings_proxy,
                platform_log,
                self._environment.clock,
                self._environment.random,
            ),
            'beat': FeedHeartbeat(self._settings_proxy, self._feed),
            'members': notifier,
            'gauges': GaugeReporter(
                cluster.metrics,
                self._settings_proxy,
                cluster.membership,
            ),
        }
        return tuple(Loop(name, job) for name, job in jobs.items())

    def _connect_gossip(self) -> None:
        gossip = self._cluster.gossip
        gossip.handle(RECORD_TOPIC, self._handle_record)
        gossip.handle(TREE_TOPIC, self._handle_tree_question)

    def _handle_record(self, body: Body) -> None:
        self._settings_proxy.apply_message.defer(
            from_plain(body, RecordMessage)
        )

    def _handle_tree_question(self, body: Body) -> Body:
        question = from_plain(body, TreeQuestion)
        return to_plain(self._settings_proxy.answer(question).get())
