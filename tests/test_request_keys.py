"""
Idempotency keys: claims, expiry, keepers and owners.
"""

from dataclasses import replace
from unittest import TestCase

from mallowcrank.refusals import Ran, Reason, Refused
from mallowcrank.requests.key_names import key_prefix, read_key
from mallowcrank.requests.key_ownership import (
    MAX_VIEW_AGE_S,
    QUARANTINE_S,
    Forward,
    HandleLocally,
    LookupContext,
    Membership,
    RouterId,
    find_keeper,
    find_owner,
    record_membership,
    rendezvous,
)
from mallowcrank.requests.keys import (
    ANSWER_TTL_S,
    MAX_ANSWER_BYTES,
    MAX_EXPIRY_S,
    MAX_KEYS,
    Claim,
    Join,
    KeyState,
    Replay,
    Start,
    StoreUsage,
    check_send,
    decide_claim,
    finish,
    is_expired,
)
from mallowcrank.view import Peer

ME = RouterId('r1', '1' * 16)
OTHER = RouterId('r2', '2' * 16)
EMPTY_STORE = StoreUsage(0)
CLAIM = Claim('k', 'body', expiry=100, now=50)


class TestClaim(TestCase):
    def setUp(self):
        self.entry = decide_claim(None, CLAIM, EMPTY_STORE).entry

    def test_new_key_starts_and_second_claim_joins_it(self):
        self.assertIsInstance(decide_claim(None, CLAIM, EMPTY_STORE), Start)
        self.assertEqual(
            decide_claim(self.entry, CLAIM, EMPTY_STORE), Join(self.entry)
        )

    def test_answer_is_replayed_also_after_the_expiry(self):
        ended = finish(self.entry, Ran.YES, 10)
        late = replace(CLAIM, now=100 + ANSWER_TTL_S - 1)
        self.assertEqual(decide_claim(ended, late, EMPTY_STORE), Replay(ended))

    def test_key_with_unknown_outcome_is_not_started_again(self):
        ended = finish(self.entry, Ran.UNKNOWN, 10)
        self.assertEqual(decide_claim(ended, CLAIM, EMPTY_STORE), Replay(ended))

    def test_key_may_start_again_if_nothing_ran(self):
        self.assertIsNone(finish(self.entry, Ran.NO, 10))

    def test_same_key_with_another_body_is_refused(self):
        other = replace(CLAIM, fingerprint='another')
        for entry in (self.entry, finish(self.entry, Ran.YES, 10)):
            refused = decide_claim(entry, other, EMPTY_STORE)
            self.assertEqual(refused.reason, Reason.KEY_REUSED)
            self.assertEqual(refused.ran, Ran.NO)

    def test_expired_key_is_known_not_to_have_run_only_while_stored(self):
        known = decide_claim(None, replace(CLAIM, now=100), EMPTY_STORE)
        self.assertEqual((known.reason, known.ran), (Reason.KEY_EXPIRED, 'no'))
        forgotten = replace(CLAIM, now=100 + ANSWER_TTL_S)
        self.assertEqual(
            decide_claim(None, forgotten, EMPTY_STORE).ran, Ran.UNKNOWN
        )

    def test_key_that_expires_too_far_in_the_future_is_refused(self):
        far = replace(CLAIM, expiry=CLAIM.now + MAX_EXPIRY_S + 1)
        self.assertEqual(decide_claim(None, far, EMPTY_STORE).ran, Ran.NO)

    def test_full_store_refuses_new_keys_only(self):
        for room in (StoreUsage(MAX_KEYS), StoreUsage(1, MAX_ANSWER_BYTES)):
            refused = decide_claim(None, CLAIM, room)
            self.assertEqual(refused.reason, Reason.KEYS_FULL)
            self.assertEqual(refused.ran, Ran.NO)
            self.assertIsInstance(decide_claim(self.entry, CLAIM, room), Join)

    def test_entry_expires_only_when_the_key_can_not_start_again(self):
        ended = finish(self.entry, Ran.YES, 10)
        self.assertFalse(is_expired(ended, 100 + ANSWER_TTL_S - 1))
        self.assertTrue(is_expired(ended, 100 + ANSWER_TTL_S))
        self.assertEqual(self.entry.state, KeyState.RUNNING)
        self.assertFalse(is_expired(self.entry, 1_000_000))

    def test_request_is_not_sent_after_a_pause_past_its_expiry(self):
        self.assertIsNone(check_send(100, now=99, seconds_left=1))
        self.assertEqual(
            check_send(100, now=100, seconds_left=1).reason, Reason.KEY_EXPIRED
        )
        self.assertEqual(
            check_send(100, now=99, seconds_left=0).reason,
            Reason.DEADLINE_PASSED,
        )


class TestKeepers(TestCase):
    def setUp(self):
        self.peer = Peer('r2', '127.0.0.1:1', 'a', OTHER.incarnation)
        both = frozenset((ME, OTHER))
        self.known = LookupContext(
            me=ME,
            peers={'r2': self.peer},
            history=(Membership(both),),
            forwarded=False,
            view_age_s=0,
            now=1000,
        )

    def test_prefix_names_router_incarnation_and_expiry(self):
        for router in ('r1', 'east.r1', 'r-1.7.x'):
            name = read_key(f'{key_prefix(router, "ab" * 8, 77)}own.part')
            self.assertEqual(
                (name.router, name.incarnation, name.expiry),
                (router, 'ab' * 8, 77),
            )
        self.assertIsNone(read_key('own-part'))
        self.assertIsNone(read_key('mc1.r1.xyz.7.own'))

    def test_keeper_handles_a_key_and_others_forward_it_once(self):
        mine = read_key(f'{key_prefix(ME.name, ME.incarnation, 7)}a')
        theirs = read_key(f'{key_prefix("r2", OTHER.incarnation, 7)}a')
        self.assertEqual(find_keeper(mine, self.known), HandleLocally())
        self.assertEqual(find_keeper(theirs, self.known), Forward(self.peer))
        passed_on = replace(self.known, forwarded=True)
        self.assertEqual(find_keeper(theirs, passed_on).ran, Ran.UNKNOWN)

    def test_outcome_is_unknown_if_the_incarnation_is_gone(self):
        for router, incarnation in (('r2', '3' * 16), ('r9', '2' * 16)):
            gone = read_key(f'{key_prefix(router, incarnation, 7)}a')
            refused = find_keeper(gone, self.known)
            self.assertEqual(refused.reason, Reason.KEEPER_GONE)
            self.assertEqual(refused.ran, Ran.UNKNOWN)

    def test_key_without_prefix_has_one_owner(self):
        for number in range(20):
            key = f'key-{number}'
            found = find_owner(key, self.known)
            owner = rendezvous(key, self.known.history[-1].routers)
            expected = HandleLocally() if owner == ME else Forward(self.peer)
            self.assertEqual(found, expected)

    def test_new_owner_waits_for_the_whole_quarantine(self):
        key = self.key_of(OTHER)
        left = record_membership(self.known.history, frozenset((ME,)), 1000)
        for age, owned in ((1, False), (QUARANTINE_S + 1, True)):
            known = replace(self.known, history=left, now=1000 + age)
            found = find_owner(key, known)
            self.assertEqual(found == HandleLocally(), owned)
            if not owned:
                self.assertIs(found.ran, Ran.UNKNOWN)
        self.assertEqual(
            find_owner(self.key_of(ME), replace(self.known, history=left)),
            HandleLocally(),
        )

    def test_owner_without_contact_to_its_agent_does_not_start_keys(self):
        lost = replace(self.known, view_age_s=MAX_VIEW_AGE_S + 1)
        self.assertIsInstance(find_owner(self.key_of(ME), lost), Refused)

    def key_of(self, router):
        both = frozenset((ME, OTHER))
        names = (f'key-{number}' for number in range(100))
        return next(key for key in names if rendezvous(key, both) == router)
