"""
Builds the services that all parts of a gateway share.
"""

from functools import partial
from random import Random

from mallowcrank.chains.budget import RetryWindows
from mallowcrank.chains.memory import MemoryLedger
from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.core import Core
from mallowcrank.gateway.fleet import Fleet
from mallowcrank.gateway.journal import Importance, Journal
from mallowcrank.gateway.meters import Meters
from mallowcrank.gateway.peers import Peers
from mallowcrank.gateway.permits import Permits
from mallowcrank.gateway.ports import Vocabulary
from mallowcrank.gateway.prober import Prober
from mallowcrank.gateway.proxies import Proxies
from mallowcrank.gateway.reachability import Reachability
from mallowcrank.gateway.receiving import Excess, ReceiveBudget
from mallowcrank.gateway.settings import GatewaySettings
from mallowcrank.gateway.suspects import Suspects
from mallowcrank.gateway.target_channel import ChannelPool
from mallowcrank.gateway.unexpected_errors import UnexpectedErrors


def build_core(
    settings: GatewaySettings, vocabulary: Vocabulary, journal: Journal
) -> Core:
    """
    Build the services that all parts share.
    """
    meters = Meters()
    errors = UnexpectedErrors(journal, meters)
    fleet = Fleet(journal)
    pool = ChannelPool(_build_budget(settings, journal, meters))
    peers = Peers(settings, journal)
    permits = Permits(settings, peers, journal, meters)
    prober = Prober(fleet, pool, vocabulary, meters, permits.limits, errors)
    suspects = Suspects(journal, meters)
    reachability = Reachability(
        fleet, peers, prober, journal, meters, suspects.drop_recent
    )
    return Core(
        settings=settings,
        vocabulary=vocabulary,
        journal=journal,
        meters=meters,
        random=Random(),
        fleet=fleet,
        ledger=MemoryLedger(),
        retry_windows=_retry_windows(settings),
        pool=pool,
        prober=prober,
        peers=peers,
        permits=permits,
        suspects=suspects,
        proxies=Proxies(reachability, pool, vocabulary, Random()),
        errors=errors,
    )


def _retry_windows(settings: GatewaySettings) -> RetryWindows:
    earlier_run_ended_s = None if settings.is_first_start else monotonic_s()
    return RetryWindows(settings.bounds, earlier_run_ended_s)


def _build_budget(
    settings: GatewaySettings, journal: Journal, meters: Meters
) -> ReceiveBudget:
    budget = ReceiveBudget(settings.memory_bytes)
    budget.report = partial(_record_excess, journal, meters)
    return budget


def _record_excess(journal: Journal, meters: Meters, excess: Excess) -> None:
    """
    Log and count a connection that was broken off for what its peer has sent.
    """
    meters.broken_off.labels(excess.part.value).inc()
    journal.say(
        'channel: broken off',
        Importance.FAILURE,
        peer=excess.peer,
        part=excess.part.value,
        held_bytes=excess.held_bytes,
    )
