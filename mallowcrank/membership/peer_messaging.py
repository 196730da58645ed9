"""
Messages between the other parts of different agents.
"""

import itertools
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from mallowcrank.agent.ports import Body, Handler
from mallowcrank.logs import PartLog
from mallowcrank.membership.events import DeliverMessage
from mallowcrank.membership.inbox import Broadcast, Event
from mallowcrank.membership.messages import Answer, Ask, Post
from mallowcrank.membership.streams import PeerStreams, ask_peer
from mallowcrank.settings import AgentSettings

HANDLER_THREADS = 4
log = PartLog('members')


class PeerMessaging:
    """
    Implements `GossipPort` for a running agent.

    :param submit_event: queues an event for the `MembershipActor`.
    """

    def __init__(
        self,
        settings: AgentSettings,
        streams: PeerStreams,
        submit_event: Callable[[Event], None],
    ) -> None:
        self._settings = settings
        self._streams = streams
        self._submit_event = submit_event
        self._actor: Any = None
        self._handlers: dict[str, Handler] = {}
        self._numbers = itertools.count(1)
        self._executor = ThreadPoolExecutor(HANDLER_THREADS, 'talk')

    # Queries

    def addresses(self) -> tuple[str, ...]:
        """
        Return the addresses of agents that accept requests, the best first.
        """
        live_addresses = self._actor.addresses().get()
        return live_addresses or self._settings.peers

    def ask(
        self, peer: str, topic: str, body: Body, timeout_s: float
    ) -> Body | None:
        """
        Send a request to one peer, and return its answer or `None`.
        """
        question = Ask(next(self._numbers), topic, body)
        answer = ask_peer(peer, question, self._settings.keys, timeout_s)
        return None if answer is None else answer.body

    # Commands

    def use_actor(self, actor: Any) -> None:
        """
        Set the actor that provides the addresses.

        :param actor: a proxy of the `MembershipActor`.
        """
        self._actor = actor

    def handle_message(self, delivery: DeliverMessage) -> None:
        """
        Handle a received message in a thread.
        """
        self._executor.submit(self._dispatch, delivery)

    def stop(self) -> None:
        """
        Handle no more messages.
        """
        self._executor.shutdown(wait=False, cancel_futures=True)

    def send(self, topic: str, body: Body) -> None:
        """
        Send a message to all connected agents, whose handlers forward it.
        """
        self._submit_event(Broadcast(topic, body))

    def handle(self, topic: str, handler: Handler) -> None:
        """
        Set the handler of a topic.
        """
        self._handlers[topic] = handler

    def _dispatch(self, delivery: DeliverMessage) -> None:
        message = delivery.message
        if isinstance(message, Post):
            self._call_handler(message.topic, message.body)
        elif isinstance(message, Ask):
            answer = self._call_handler(message.topic, message.body)
            self._streams.send(delivery.link, Answer(message.number, answer))

    def _call_handler(self, topic: str, body: Body) -> Body | None:
        handler = self._handlers.get(topic)
        if handler is None:
            return None
        try:
            return handler(body)
        except Exception as error:
            log.say('A message could not be handled.', topic=topic, why=error)
            return None
