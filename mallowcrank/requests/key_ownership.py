"""
Which router keeps a key, as pure functions.

A key without a prefix belongs to the router that its hash chooses among the
live ones. As views of who is live differ for a while, and a former owner may
have run the key, an owner starts such a key only where it has been the key's
owner for a whole quarantine, and while it hears its agent.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from xxhash import xxh64_intdigest

from mallowcrank.refusals import Ran, Reason, Refused
from mallowcrank.requests.key_names import KeyName
from mallowcrank.requests.keys import KEY_FIELD
from mallowcrank.view import Peer

# A caller may retry a key without a prefix for this long after the first try.
RETRY_HORIZON_S = 60
VIEW_PROPAGATION_S = 10  # until all routers that hear their agent know a change
MAX_VIEW_AGE_S = 3  # silence of the agent after which the view is not trusted
QUARANTINE_S = RETRY_HORIZON_S + VIEW_PROPAGATION_S + MAX_VIEW_AGE_S
OWNED_KEY_TTL_S = 30  # a key without a prefix is not sent later than this


@dataclass(frozen=True, slots=True)
class RouterId:
    """
    One life of a router.
    """

    name: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class Membership:
    """
    The routers that were known up to a time.

    :param until: steady time in seconds; infinite for those known now.
    """

    routers: frozenset[RouterId]
    until: float = float('inf')


@dataclass(frozen=True, slots=True)
class HandleLocally:
    """
    This router keeps the key.
    """


@dataclass(frozen=True, slots=True)
class Forward:
    """
    Pass the request on to the key's keeper.
    """

    peer: Peer


@dataclass(frozen=True, slots=True)
class LookupContext:
    """
    What a router knows when it looks for a key's keeper.

    :param me: this router.
    :param peers: the other routers by name.
    :param history: memberships of the quarantine's length, oldest first.
    :param forwarded: whether another router passed the request on.
    :param view_age_s: seconds since the agent was heard.
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
    Find the keeper of a key that names one.
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
    Build the refusal of a key whose keeper can't be asked.
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
    """
    if context.view_age_s > MAX_VIEW_AGE_S:
        return _refuse_unsure('this router has lost touch with the others')
    owner = rendezvous(key, context.history[-1].routers)
    if owner != context.me:
        peer = context.peers.get(owner.name) if owner else None
        if context.forwarded or peer is None:
            return _refuse_unsure('the routers do not agree on who is live')
        return Forward(peer)
    if not _owned_throughout(key, context):
        return _refuse_unsure('the key has changed its owner lately')
    return HandleLocally()


def rendezvous(key: str, routers: frozenset[RouterId]) -> RouterId | None:
    """
    Return the router with the highest hash of key and name.
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
    Add a change of the known routers; drop what is older than a quarantine.
    """
    if history and history[-1].routers == routers:
        return history
    ended = tuple(
        Membership(each.routers, min(each.until, now)) for each in history
    )
    recent = (each for each in ended if each.until > now - QUARANTINE_S)
    return (*recent, Membership(routers))


def _owned_throughout(key: str, known: LookupContext) -> bool:
    return all(
        rendezvous(key, each.routers) == known.me
        for each in known.history
        if each.until > known.now - QUARANTINE_S
    )


def _refuse_unsure(message: str) -> Refused:
    return Refused(
        Reason.KEEPER_GONE,
        Ran.UNKNOWN,
        f'{message}; start keys with the key_prefix of /v1/addresses',
        retry_after_s=RETRY_HORIZON_S,
        field=KEY_FIELD,
    )
