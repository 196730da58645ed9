"""
Dispatch of events to an agent's membership.
"""

from functools import singledispatch

from mallowcrank.membership import inbox
from mallowcrank.membership.events import Effect, Instant
from mallowcrank.membership.membership import Membership
from mallowcrank.membership.message_handling import broadcast


def handle_event(
    event: inbox.Event, agent: Membership, now: Instant
) -> list[Effect]:
    """
    Apply an event, and return the effects to execute, in order.

    :raises TypeError: when it is not an event.
    """
    return agent.apply_updates(_dispatch(event, agent, now), now)


@singledispatch
def _dispatch(
    event: inbox.Event, agent: Membership, now: Instant
) -> list[Effect]:
    raise TypeError(f'not an event: {event!r}')


@_dispatch.register
def _(event: inbox.Start, agent: Membership, now: Instant) -> list[Effect]:
    return agent.gossip.update_local_member(agent.gossip.local_member, now)


@_dispatch.register
def _(event: inbox.Leave, agent: Membership, now: Instant) -> list[Effect]:
    return agent.leave(now)


@_dispatch.register
def _(event: inbox.Tick, agent: Membership, now: Instant) -> list[Effect]:
    return agent.tick(now)


@_dispatch.register
def _(event: inbox.Opened, agent: Membership, now: Instant) -> list[Effect]:
    return agent.gossip.opened(event.link, event.address, now)


@_dispatch.register
def _(
    event: inbox.Unreachable, agent: Membership, now: Instant
) -> list[Effect]:
    return agent.gossip.unreachable(event.address, now)


@_dispatch.register
def _(event: inbox.Closed, agent: Membership, now: Instant) -> list[Effect]:
    return agent.gossip.closed(event.link, now)


@_dispatch.register
def _(event: inbox.Received, agent: Membership, now: Instant) -> list[Effect]:
    return agent.gossip.received(event.link, event.message, now)


@_dispatch.register
def _(event: inbox.Probed, agent: Membership, now: Instant) -> list[Effect]:
    return agent.probed(event.outcome, now)


@_dispatch.register
def _(event: inbox.Listed, agent: Membership, now: Instant) -> list[Effect]:
    return agent.listed(event.hosts, now)


@_dispatch.register
def _(event: inbox.Reported, agent: Membership, now: Instant) -> list[Effect]:
    return agent.reported(event.report, now)


@_dispatch.register
def _(event: inbox.Publish, agent: Membership, now: Instant) -> list[Effect]:
    return agent.gossip.publish(event.facts, now)


@_dispatch.register
def _(event: inbox.Broadcast, agent: Membership, now: Instant) -> list[Effect]:
    return broadcast(agent.gossip.links, event.topic, event.body)
