"""
Prometheus metrics. docs/OPERATIONS.md lists each with its unit.
"""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from mallowcrank.gateway.targets import Lifetime

LATENCY_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.15, 0.25, 0.5, 1, 2.5, 5, 10, 20)


class Meters:
    """
    All metrics of a gateway.
    """

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self.requests = self._counter(
            'requests', 'Requests by outcome.', ('kind', 'outcome')
        )
        self.sends = self._counter(
            'sends', 'Requests sent to targets.', ('kind', 'try')
        )
        self.refusals = self._counter(
            'refusals', 'Refused requests by reason.', ('reason',)
        )
        self.abandoned_runs = self._counter(
            'abandoned_runs',
            'Requests ended in time while a target may still have answered.',
            ('kind',),
        )
        self.store_calls = self._counter(
            'store_calls', 'Calls to the store.', ('call', 'outcome')
        )
        self.store_era = Gauge(
            'mallowcrank_store_era',
            'Era of the store, as its last response named it.',
            registry=self._registry,
        )
        self.desired_version = Gauge(
            'mallowcrank_desired_version',
            'Version of the desired state in force.',
            registry=self._registry,
        )
        self.desired_age_s = Gauge(
            'mallowcrank_desired_age_seconds',
            'Time since that version was known to be the newest.',
            registry=self._registry,
        )
        self.entries_age_s = Gauge(
            'mallowcrank_target_entries_age_seconds',
            "Time since the targets' entries were last read.",
            registry=self._registry,
        )
        self.target_channels = self._counter(
            'target_channels', 'New channels to targets.', ('outcome',)
        )
        self.probes = self._counter(
            'probes', 'Reports asked of targets.', ('outcome',)
        )
        self.probe_causes = self._counter(
            'probe_causes', 'Probes of targets by their cause.', ('cause',)
        )
        self.orders = self._counter(
            'orders', 'Orders to engines.', ('outcome',)
        )
        self.unexpected_errors = self._counter(
            'unexpected_errors', 'Errors that no code handles.', ('place',)
        )
        self.broken_off = self._counter(
            'broken_off',
            'Connections broken off for what their peers have sent.',
            ('part',),
        )
        self.held_bytes = Gauge(
            'mallowcrank_held_bytes',
            'Bytes received on all connections and not passed on yet.',
            registry=self._registry,
        )
        self.first_event_s = Histogram(
            'mallowcrank_first_event_seconds',
            'From a request to its first event or its answer.',
            ('kind',),
            registry=self._registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self.in_flight = Gauge(
            'mallowcrank_in_flight',
            'Requests in flight.',
            registry=self._registry,
        )
        self.gateways = Gauge(
            'mallowcrank_gateways',
            'Gateways that this one knows or hears, with itself.',
            ('state',),
            registry=self._registry,
        )
        self.retries = Gauge(
            'mallowcrank_retries',
            'Retries in the window of the budget, sent and allowed.',
            ('service', 'state'),
            registry=self._registry,
        )
        self._target_limits = Gauge(
            'mallowcrank_target_limit',
            'Requests a second that a target takes, where it names a limit.',
            ('target', 'born_ms'),
            registry=self._registry,
        )
        self.permits = self._counter(
            'permits',
            'Claims of permits for requests to targets that name limits.',
            ('verdict',),
        )
        self.limit_refusals = self._counter(
            'limit_refusals',
            "Requests refused because of targets' limits.",
            ('kind',),
        )
        self.is_cut_off = Gauge(
            'mallowcrank_cut_off',
            'Whether the gateway reaches next to no target, while others do.',
            registry=self._registry,
        )
        self.suspect_requests = Gauge(
            'mallowcrank_suspect_requests',
            'Repeated requests that may crash targets.',
            ('suspicion',),
            registry=self._registry,
        )
        self.suspect_parts = Gauge(
            'mallowcrank_suspect_parts',
            'Parts of prompts that may crash engines.',
            ('suspicion',),
            registry=self._registry,
        )
        self.waiting = Gauge(
            'mallowcrank_waiting',
            'Requests that wait for memory of engines.',
            registry=self._registry,
        )

    def set_target_limit(self, lifetime: Lifetime, rate: float | None) -> None:
        """
        Record the limit that a target names.

        :param rate: requests per second; none if it names no limit any more.
        """
        labels = (lifetime.identity, str(lifetime.born_ms))
        if rate is None:
            self._target_limits.remove(*labels)
        else:
            self._target_limits.labels(*labels).set(rate)

    def text(self) -> bytes:
        """
        Return all metrics in Prometheus's text exposition format.
        """
        return generate_latest(self._registry)

    def _counter(
        self, name: str, description: str, labels: tuple[str, ...]
    ) -> Counter:
        return Counter(
            f'mallowcrank_{name}', description, labels, registry=self._registry
        )
