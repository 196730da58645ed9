"""
Pure functions that find the router which keeps a key.

A key without a prefix is owned by one of the live routers, chosen by rendezvous
hashing. Routers may disagree for a while on which routers are live, and a
former owner may have run the request. An owner therefore starts such a key
only if it has owned the key for the whole quarantine, and while it receives
messages from its agent.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from xxhash import xxh64_intdigest

from mallowcrank.refusals import Ran, Reason, Refused
from mallowcrank.requests.key_names import KeyName
from mallowcrank.requests.keys import KEY_FIELD
from mallowcrank.view import Peer

RETRY_HORIZON_S = (
    60  # for retries of a key without a prefix, from its first attempt
)
VIEW_PROPAGATION_S = 10  # until all routers with a live agent know a change
MAX_VIEW_AGE_S = 3  # without messages from the agent; the view is stale then
QUARANTINE_S = RETRY_HORIZON_S + VIEW_PROPAGATION_S + MAX_VIEW_AGE_S
OWNED_KEY_TTL_S = 30  # from arrival to send, for a key without a prefix


@dataclass(frozen=True, slots=True)
class RouterId:
    """
    A router in one incarnation, from its start to its end.
    """

    name: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class Membership:
    """
    The set of live routers that was known until some time.

    :param until: steady time in seconds; infinite for the current set.
    """

    routers: frozenset[RouterId]
    until: float = float('inf')


@dataclass(frozen=True, slots=True)
class HandleLocally:
    """
    This router keeps the key and handles the request.
    """


@dataclass(frozen=True, slots=True)
class Forward:
    """
    Forward the request to the key's keeper.
    """

    peer: Peer


@dataclass(frozen=True, slots=True)
class LookupContext:
    """
    What a router knows when it looks up a key's keeper.

    :param me: this router.
    :param peers: the other routers by name.
    :param history: memberships during the last quarantine, oldest first.
    :param forwarded: whether another router forwarded the request.
    :param view_age_s: seconds since the last message from the agent.
    :param now: steady time in seconds.
    """

    me: RouterId
    peers: Mapping[str, Peer]
    history: tuple[Membership, ...]
    forwarded: bool
    view_age_s: float
    now: float


def find_keeper(
    name: KeyName, context: LookupContext
) -> HandleLocally | Forward | Refused:
    """
    Find the keeper of a key that names its keeper.
    """
    keeper = RouterId(name.router, name.incarnation)
    if keeper == context.me:
        return HandleLocally()
    peer = context.peers.get(name.router)
    if context.forwarded or peer is None:
        return keeper_gone()
    if peer.incarnation != name.incarnation:
        return keeper_gone()
    return Forward(peer)


def keeper_gone() -> Refused:
    """
    Build the refusal of a request whose keeper can't be reached.
    """
    return Refused(
        Reason.KEEPER_GONE,
        Ran.UNKNOWN,
        'the router that keeps the key is gone; it may have run the request',
        field=KEY_FIELD,
    )


def find_owner(
    key: str, context: LookupContext
) -> HandleLocally | Forward | Refused:
    """
    Find the owner of a key that names no keeper.

    :returns: what to do, or a refusal while the owner is uncertain.
    """
    if context.view_age_s > MAX_VIEW_AGE_S:
        return _refuse_uncertain('this router has lost touch with the others')
    owner = rendezvous(key, context.history[-1].routers)
    if owner != context.me:
        peer = context.peers.get(owner.name) if owner else None
        if context.forwarded or peer is None:
            return _refuse_uncertain('the routers do not agree on who is live')
        return Forward(peer)
    if not _owned_throughout(key, context):
        return _refuse_uncertain('the key has changed its owner lately')
    return HandleLocally()


def rendezvous(key: str, routers: frozenset[RouterId]) -> RouterId | None:
    """
    Choose the owner of a key by rendezvous hashing.

    :returns: the router whose name and incarnation have the highest hash
        together with the key, or `None` if there is no router.
    """
    return max(
        routers,
        key=lambda each: (
            xxh64_intdigest(f'{key}\0{each.name}\0{each.incarnation}'.encode()),
            each.name,
        ),
        default=None,
    )


def record_membership(
    history: tuple[Membership, ...], routers: frozenset[RouterId], now: float
) -> tuple[Membership, ...]:
    """
    Add a change of the live routers; drop entries older than the quarantine.
    """
    if history and history[-1].routers == routers:
        return history
    ended = tuple(
        Membership(each.routers, min(each.until, now)) for each in history
    )
    recent = (each for each in ended if each.until > now - QUARANTINE_S)
    return (*recent, Membership(routers))


def _owned_throughout(key: str, context: LookupContext) -> bool:
    return all(
        rendezvous(key, each.routers) == context.me
        for each in context.history
        if each.until > context.now - QUARANTINE_S
    )


def _refuse_uncertain(message: str) -> Refused:
    return Refused(
        Reason.KEEPER_GONE,
        Ran.UNKNOWN,
        f'{message}; start keys with the key_prefix of /v1/addresses',
        retry_after_s=RETRY_HORIZON_S,
        field=KEY_FIELD,
    )
