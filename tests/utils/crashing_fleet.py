"""
Gateways and targets in virtual time, some of which crash.
"""

from collections import Counter
from dataclasses import dataclass
from heapq import heappop, heappush
from itertools import count
from random import Random
from unittest.mock import Mock, patch

from mallowcrank.chains.crash_evidence import Trait
from mallowcrank.gateway.suspects import MAX_RUN_S, Suspects, Suspicion
from mallowcrank.gateway.targets import Lifetime

STATUS_INTERVAL_S = 0.5
STATUS_DELAY_S = 0.01
SURVIVAL_S = 0.25  # of a stream, which clears the parts of its prompt
DETECTION_S = 0.06  # at most, until a gateway finds that a target is gone
DOWN_S = 2.5
CRASH_DELAY_S = 0.1  # of a target that runs a deadly request
MAX_SENDS = 2


@dataclass(frozen=True, slots=True)
class SentRequest:
    """
    A request on its way.

    :param sends: how often it was sent, with this time.
    :param sent_at: virtual time, in seconds.
    """

    name: str
    gateway: int
    traits: tuple[Trait, ...]
    lifetime: Lifetime
    sends: int
    sent_at: float


class CrashingFleet:
    """
    Gateways that send requests to the targets of one service.

    :param work_s: seconds that a target needs for a request.
    :param deadly: a trait whose requests crash each target.
    """

    def __init__(self, gateways, targets, work_s, deadly=None, seed=1):
        self.now = 100.0
        self.statuses = Counter()
        self.denied = Counter()
        self.deadly_sends = 0
        self._work_s = work_s
        self._deadly = deadly
        self._random = Random(seed)
        self._gateways = [Suspects(Mock(), Mock()) for _ in range(gateways)]
        self._trials = [set() for _ in range(gateways)]
        self._lives = {f'i-{number}': 0 for number in range(targets)}
        self._down = set()
        self._running = {}
        self._events = []
        self._numbers = count()

    @property
    def targets(self):
        return list(self._lives)

    def at(self, moment, action, *values):
        """
        Act at a moment, in seconds since the start.
        """
        self._push(100 + moment, action, *values)

    def run(self, seconds):
        for number in range(int(seconds / STATUS_INTERVAL_S)):
            self.at(number * STATUS_INTERVAL_S, self._exchange)
        with patch('mallowcrank.gateway.suspects.monotonic_s', self._clock):
            while self._events and self._events[0][0] < 100 + seconds:
                moment, _, action, values = heappop(self._events)
                self.now = moment
                action(*values)

    def load(self, seconds, per_s, make_traits):
        """
        Let requests arrive at random moments.
        """
        moment = self._random.expovariate(per_s)
        while moment < seconds:
            self.at(moment, self._arrive, make_traits)
            moment += self._random.expovariate(per_s)

    def answer_others(self, seconds, per_s):
        """
        Let another service answer, whose targets go on.
        """
        for number in range(seconds * per_s):
            self.at(number / per_s, self._answer_other)

    def crash_each(self, interval_s, share, until):
        """
        Crash a share of the targets at each interval.
        """
        size = round(len(self._lives) * share)
        moment = interval_s
        while moment < until:
            self.at(moment, self._crash_some, size)
            moment += interval_s

    def crash(self, identity):
        """
        Crash a target, which is started again some seconds later.
        """
        if identity in self._down:
            return
        self._down.add(identity)
        lifetime = Lifetime(identity, self._lives[identity])
        self._push(self.now + DOWN_S, self._restart, identity)
        lost = [
            each for each in self._running.values() if each.lifetime == lifetime
        ]
        for each in lost:
            del self._running[each.name, each.sends]
            found_at = self.now + self._random.random() * DETECTION_S
            self._push(found_at, self._lose, each)

    def _clock(self):
        return self.now

    def _push(self, at, action, *values):
        heappush(self._events, (at, next(self._numbers), action, values))

    def _crash_some(self, size):
        for identity in self._random.sample(self.targets, size):
            self.crash(identity)

    def _restart(self, identity):
        self._lives[identity] += 1
        self._down.discard(identity)

    def _arrive(self, make_traits):
        traits = make_traits(self._random)
        gateway = self._random.randrange(len(self._gateways))
        suspicion = self._gateways[gateway].suspicion(traits)
        trials = self._trials[gateway]
        if suspicion is Suspicion.CONFIRMED:
            self.statuses['denied'] += 1
            self.denied.update(traits)
        elif suspicion is Suspicion.HELD:
            self.statuses['held'] += 1
        elif suspicion and trials.intersection(traits):
            self.statuses['refused'] += 1
        else:
            if suspicion:
                trials.update(traits)
            name = f'r{next(self._numbers)}'
            self._send(name, gateway, traits, 1)

    def _send(self, name, gateway, traits, sends):
        ready = [each for each in self._lives if each not in self._down]
        if not ready:
            self._trials[gateway].difference_update(traits)
            self.statuses['none ready'] += 1
            return
        identity = self._random.choice(ready)
        lifetime = Lifetime(identity, self._lives[identity])
        sent = SentRequest(name, gateway, traits, lifetime, sends, self.now)
        self._running[name, sends] = sent
        if self._deadly in traits:
            self.deadly_sends += 1
            self._push(self.now + CRASH_DELAY_S, self._die, sent)
        else:
            self._push(self.now + SURVIVAL_S, self._survive, sent)
            work_s = self._work_s * (0.5 + self._random.random())
            self._push(self.now + work_s, self._answer, sent)

    def _die(self, sent):
        if (sent.name, sent.sends) in self._running:
            self.crash(sent.lifetime.identity)

    def _survive(self, sent):
        if (sent.name, sent.sends) in self._running:
            parts = [each for each in sent.traits if not each.is_whole]
            self._gateways[sent.gateway].record_answered(parts)
            self._trials[sent.gateway].difference_update(parts)

    def _answer(self, sent):
        if self._running.pop((sent.name, sent.sends), None):
            gateway = self._gateways[sent.gateway]
            is_first = self.now - sent.sent_at < SURVIVAL_S
            gateway.record_answered(sent.traits, is_first)
            self._trials[sent.gateway].difference_update(sent.traits)
            self.statuses['served'] += 1

    def _answer_other(self):
        name = f'd{next(self._numbers)}'
        other = Trait('other', name, is_whole=True)
        self._random.choice(self._gateways).record_answered((other,))

    def _lose(self, sent):
        gateway = self._gateways[sent.gateway]
        self._trials[sent.gateway].difference_update(sent.traits)
        lasted_s = self.now - sent.sent_at
        may_resend = True
        if lasted_s < MAX_RUN_S:
            gateway.record_lost(sent.name, sent.lifetime, sent.traits, lasted_s)
            may_resend = gateway.may_resend(sent.traits, has_begun=False)
        if may_resend and sent.sends < MAX_SENDS:
            self._send(sent.name, sent.gateway, sent.traits, sent.sends + 1)
        else:
            self.statuses['failed'] += 1

    def _exchange(self):
        for number, gateway in enumerate(self._gateways):
            sent_at = self.now + number / len(self._gateways) * 0.4
            self._push(sent_at, self._tell, gateway)

    def _tell(self, gateway):
        report = gateway.report()
        if report:
            self._push(self.now + STATUS_DELAY_S, self._hear, gateway, report)

    def _hear(self, sender, report):
        for receiver in self._gateways:
            if receiver is not sender:
                receiver.apply(report, self._has_ended)

    def _has_ended(self, lifetime):
        identity = lifetime.identity
        return (
            identity in self._down or lifetime.born_ms < self._lives[identity]
        )
