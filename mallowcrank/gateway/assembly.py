"""
Builds the parts of a gateway and connects them.
"""

import secrets
from dataclasses import dataclass
from functools import partial

from mallowcrank.gateway.core import Core
from mallowcrank.gateway.core_assembly import build_core
from mallowcrank.gateway.desired_checks import DesiredChecks
from mallowcrank.gateway.followers import DesiredFollower
from mallowcrank.gateway.gossip import Gossip
from mallowcrank.gateway.journal import Journal
from mallowcrank.gateway.latest_desired import LatestDesired
from mallowcrank.gateway.leadership import Leadership, member_name
from mallowcrank.gateway.peer_sync import PeerSync
from mallowcrank.gateway.placing import Placer
from mallowcrank.gateway.ports import Vocabulary
from mallowcrank.gateway.settings import GatewaySettings
from mallowcrank.gateway.store_client import StoreClient
from mallowcrank.gateway.targets_follower import TargetsFollower

INCARNATION_BYTES = 4


@dataclass(frozen=True, slots=True)
class Parts:
    """
    The parts of a gateway that run tasks or serve requests.
    """

    core: Core
    known: LatestDesired
    desired: DesiredFollower
    checks: DesiredChecks
    targets: TargetsFollower
    duty: Leadership
    placer: Placer
    handover: PeerSync
    gossip: Gossip


def build_parts(
    settings: GatewaySettings, vocabulary: Vocabulary, journal: Journal
) -> Parts:
    """
    Build a gateway's parts.
    """
    core = build_core(settings, vocabulary, journal)
    incarnation = secrets.token_hex(INCARNATION_BYTES)
    store_client = StoreClient(
        settings.store, vocabulary.store, journal, core.meters, core.pool.budget
    )
    known = LatestDesired(vocabulary, journal, core.errors)
    desired = DesiredFollower(
        known, store_client, vocabulary, core.random, journal
    )
    targets = TargetsFollower(core, store_client)
    checks = DesiredChecks(
        settings.bounds.config_s, known, desired, store_client, core.peers
    )

    store_client.listen(
        checks.request, partial(_resume_reads, checks, desired, targets)
    )
    duty = Leadership(
        settings,
        member_name(settings, incarnation),
        store_client,
        vocabulary,
        core.peers,
        journal,
    )
    gossip = Gossip(core, known, targets, duty, incarnation)
    core.peers.listen(
        gossip.own_status,
        core.errors.guard('datagram', gossip.handle_status),
        core.errors.guard('datagram', core.permits.handle_datagram),
    )
    return Parts(
        core=core,
        known=known,
        desired=desired,
        checks=checks,
        targets=targets,
        duty=duty,
        placer=Placer(core),
        handover=PeerSync(core, known, checks, targets),
        gossip=gossip,
    )


def _resume_reads(
    checks: DesiredChecks, desired: DesiredFollower, targets: TargetsFollower
) -> None:
    """
    Read what the store may have been told while it couldn't be reached.
    """
    checks.request()
    desired.wake()
    targets.wake()
