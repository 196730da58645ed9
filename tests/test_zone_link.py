"""
Requests that cross the link between availability zones, in virtual time: the
link is first in, first out, and callers leave before the first event and ask
again once.
"""

from collections import Counter
from heapq import heappop, heappush
from itertools import count
from random import Random
from types import MappingProxyType
from unittest import TestCase

from mallowcrank.chains.zone_link import LINK_SHARE, LinkShares

SECONDS = 20
AIM_S = 0.5
PATIENCE_S = 2.0
MIN_USE = 0.4  # of the shares of an overloaded link
WAIT_S = 0.4  # of a request for a path, until it is refused
WAKE_S = 0.05
RETURN_S = 1.0
OCCUPIES_S = 0.04  # the link, for a prompt that crosses twice
LINK = ('a', 'b')
CROSSING = MappingProxyType({LINK: OCCUPIES_S})
CAPACITY_PER_S = 1 / OCCUPIES_S


class Unlimited:
    """
    Lets all requests cross.
    """

    def find_busy(self, crossings, gateways, now):
        return ()


class SharedLink:
    """
    Gateways whose requests can only be served across zones.

    :param demand: offered load, as a multiple of the link's capacity.
    """

    def __init__(self, gateways, demand, make_share, seed=1):
        self.outcomes = Counter()
        self.busy_until = 0
        self._random = Random(seed)
        self._shares = [make_share(self._random) for _ in range(gateways)]
        self._events = []
        self._numbers = count()
        rate = demand * CAPACITY_PER_S
        moment = self._random.expovariate(rate)
        while moment < SECONDS:
            self._arrive(moment, 0)
            moment += self._random.expovariate(rate)

    def run(self):
        while self._events:
            now, _, request = heappop(self._events)
            self._try(now, *request)
        return self.outcomes

    def _arrive(self, at, tries):
        self._push(at, at, tries, self._random.choice(self._shares))

    def _push(self, at, *request):
        heappush(self._events, (at, next(self._numbers), request))

    def _try(self, now, asked_at, tries, share):
        gateways = len(self._shares)
        if not share.find_busy(CROSSING, gateways, now):
            self._cross(now, asked_at, tries)
        elif now < asked_at + WAIT_S:
            self._push(now + WAKE_S, asked_at, tries, share)
        else:
            self._return(now, asked_at, tries, 'refused')

    def _cross(self, now, asked_at, tries):
        self.busy_until = max(now, self.busy_until) + OCCUPIES_S
        took_s = self.busy_until - now
        if took_s > PATIENCE_S:
            self._return(now + PATIENCE_S, asked_at, tries, 'left')
        elif self.busy_until - asked_at > AIM_S:
            self.outcomes['late'] += 1
        else:
            self.outcomes['in aim'] += 1

    def _return(self, now, asked_at, tries, reason):
        if tries:
            self.outcomes[reason] += 1
        else:
            self._arrive(now + RETURN_S, 1)


class TestLinkShares(TestCase):
    def test_overloaded_link_serves_those_who_cross(self):
        for gateways in (8, 24, 195):
            for demand in (1.5, 4):
                with self.subTest(gateways=gateways, demand=demand):
                    outcomes = SharedLink(gateways, demand, LinkShares).run()
                    crossed = outcomes['in aim'] + outcomes['late']
                    self.assertEqual(outcomes['left'], 0)
                    self.assertGreater(outcomes['in aim'], 0.9 * crossed)
                    self.assertGreater(
                        crossed, MIN_USE * LINK_SHARE * CAPACITY_PER_S * SECONDS
                    )

    def test_without_shares_an_overloaded_link_serves_nobody_in_time(self):
        outcomes = SharedLink(8, 4, lambda _: Unlimited()).run()
        self.assertGreater(outcomes['left'], outcomes['in aim'])

    def test_zone_that_fails_at_all_gateways_fills_no_queue(self):
        random = Random(3)
        gateways = [LinkShares(random) for _ in range(195)]
        at_once = sum(
            not share.find_busy(CROSSING, len(gateways), 100)
            for share in gateways
        )
        self.assertLess(at_once * OCCUPIES_S, PATIENCE_S)

    def test_busy_link_leaves_the_others_free(self):
        shares = LinkShares(Random(1))
        shares.find_busy(CROSSING, 8, 100)
        both = {**CROSSING, ('b', 'c'): OCCUPIES_S}
        self.assertEqual(shares.find_busy(both, 8, 100), [LINK])

    def test_link_of_unknown_capacity_is_not_limited(self):
        share = LinkShares(Random(1))
        self.assertFalse(
            any(share.find_busy({LINK: 0}, 8, now) for now in range(9))
        )
