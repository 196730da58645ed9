"""
Builds the services that all parts of a gateway share.
"""

from random import Random

from mallowcrank.chains.budget import RetryWindows
from mallowcrank.chains.memory import MemoryLedger
from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.core import Core
from mallowcrank.gateway.fleet import Fleet
from mallowcrank.gateway.journal import Journal
from mallowcrank.gateway.meters import Meters
from mallowcrank.gateway.peers import Peers
from mallowcrank.gateway.permits import Permits
from mallowcrank.gateway.ports import Vocabulary
from mallowcrank.gateway.prober import Prober
from mallowcrank.gateway.proxies import Proxies
from mallowcrank.gateway.reachability import Reachability
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
    pool = ChannelPool()
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
