"""
The state of one call, and which answers are to it.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from hashlib import blake2b

from mallowcrank.chains.crash_evidence import Trait
from mallowcrank.gateway.caller_channel import CallerRequest, ResponseWriter
from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.desired import Repeat, RouteRule, ServiceRule
from mallowcrank.gateway.ports import CallerFields, Headers, Vocabulary
from mallowcrank.gateway.target_channel import TargetChannel
from mallowcrank.gateway.targets import Lifetime

DIGEST_BYTES = 12


@dataclass(slots=True)
class Call:
    """
    A caller's request while it is served by targets.

    :param desired_version: version of the desired state that routed it.
    :param deadline_at: monotonic time by which the final response is due, in
        seconds.
    :param sends: number of sends after which the request may have run.
    :param arrivals: number of sends, also of those that were refused.
    :param sent_at: steady time of the last send, in seconds.
    :param refusals: number of sends that a target states it did not run.
    :param waited_s: seconds spent waiting for a path.
    :param avoided: lifetimes of targets that must not get the request again.
    :param channels: to targets that have carried it.
    :param proxies: hosts of gateways that it was passed on to.
    :param is_proxied: whether another gateway has passed it on to this one.
    """

    request: CallerRequest
    fields: CallerFields
    response: ResponseWriter
    route: RouteRule
    service: ServiceRule
    workspace: str
    priority: int
    desired_version: int
    deadline_at: float
    sends: int = 0
    arrivals: int = 0
    sent_at: float = 0
    refusals: int = 0
    waited_s: float = 0
    avoided: set[Lifetime] = field(default_factory=set)
    channels: set[TargetChannel] = field(default_factory=set)
    proxies: set[str] = field(default_factory=set)
    is_proxied: bool = False
    _digest: str = ''

    @property
    def kind(self) -> str:
        """
        Return the kind of request, for metrics and logs.
        """
        return 'stream' if self.route.streams else self.route.repeat.value

    @property
    def prompt_parts(self) -> tuple[Trait, ...]:
        """
        Return the parts of its prompt that other requests may share.
        """
        names = self.fields.prompt_parts
        return tuple(Trait(self.service.name, name) for name in names)

    @property
    def whole(self) -> Trait:
        """
        Return the trait that only its repetitions share.
        """
        return Trait(self.service.name, self.digest(), is_whole=True)

    @property
    def has_begun(self) -> bool:
        """
        Return whether the caller has a part of its answer, from this gateway
        or from the one that passed it on.
        """
        is_resumed = self.is_proxied and bool(self.fields.last_event)
        return self.response.has_begun or is_resumed

    @property
    def max_sends(self) -> int:
        """
        Return how many targets it may be sent to.

        The gateway that passed it on counts that as one send, and has the
        others left.
        """
        return 1 if self.is_proxied else self.route.max_sends

    def traits(self) -> tuple[Trait, ...]:
        """
        Return what it has in common with other requests.
        """
        return (*self.prompt_parts, self.whole)

    def digest(self) -> str:
        """
        Return a digest that repetitions of the request share.

        They have the workspace, method, host, path, query and body in common;
        ids, deadlines and events to resume after differ.
        """
        if self._digest:
            return self._digest
        request = self.request
        fields = (
            self.workspace.encode(),
            request.method.encode(),
            request.host.encode(),
            request.target,
            request.body,
        )
        digest = blake2b(digest_size=DIGEST_BYTES)
        for each in fields:
            digest.update(b'%d:' % len(each))
            digest.update(each)
        self._digest = digest.hexdigest()
        return self._digest

    def may_retry(self, unsent: int = 0) -> bool:
        """
        Return whether the deadline and the route allow another send.

        :param unsent: number of sends that are decided and not made yet.
        """
        if self.remaining_s() <= 0 or self.response.has_ended:
            return False
        if self.sends and self.route.repeat is Repeat.ONCE:
            return False
        return self.sends + unsent < self.max_sends

    def record_send(self, now: float) -> None:
        """
        Record that it is sent, and may run from now on.

        :param now: steady time, in seconds.
        """
        self.sends += 1
        self.arrivals += 1
        self.sent_at = now

    def record_refusal(self) -> None:
        """
        Record that the last send certainly didn't run.
        """
        self.sends -= 1
        self.refusals += 1

    def remaining_s(self) -> float:
        """
        Return the seconds until the final response is due.
        """
        return self.deadline_at - monotonic_s()

    def age_s(self) -> float:
        """
        Return the seconds since the first byte of the request was received.
        """
        return monotonic_s() - self.request.received_at


def answer_matcher(
    vocabulary: Vocabulary, call: Call, channel: TargetChannel
) -> Callable[[Headers], bool]:
    """
    Return a predicate on the headers of an answer: does it answer this call?

    An answer without a request id matches if it states that the request did
    not run, and answers the first request of its channel. Later, it may be a
    repeated answer to an earlier one.

    :param channel: over which the call is about to be sent.
    """
    is_first = channel.request_count == 0

    def matches(headers: Headers) -> bool:
        fields = vocabulary.response_fields(headers)
        if not fields.request_id:
            return is_first and fields.did_not_run
        return fields.request_id == call.fields.request_id

    return matches
