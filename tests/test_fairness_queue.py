"""
Fair queueing between branches, early refusals and reserved capacity.
"""

from unittest import TestCase

from mallowcrank.fairness.queue import Entry, FairQueue
from mallowcrank.policy.admission_controller import AdmissionController
from mallowcrank.refusals import Ran, Reason
from mallowcrank.router.ports import Ticket
from mallowcrank.view import (
    ModelSettings,
    ServiceSettings,
    Target,
    TargetKind,
    View,
    WorkspaceSettings,
)

QUOTES = WorkspaceSettings('head/quotes', 'head', branch_share=1)
NOTES = WorkspaceSettings('head/notes', 'head', branch_share=1)
CREWS = WorkspaceSettings('rail/crews', 'rail', branch_share=3)


def ticket(request, workspace=QUOTES, priority=0, deadline=1e9, **more):
    fields = {'tokens': 10, 'serves': 'm', **more}
    return Ticket(request, workspace.name, deadline, priority, **fields)


def any_branch(_branch):
    return True


class TestFairQueue(TestCase):
    def setUp(self):
        self.queue = FairQueue()
        self.number = 0

    def push(self, workspace, priority=0, count=1):
        for _ in range(count):
            self.number += 1
            asked = ticket(f'r{self.number}', workspace, priority)
            self.queue.push(Entry(asked, workspace, self.number))

    def pop(self, count):
        popped = [self.queue.pop(any_branch) for _ in range(count)]
        return [entry.workspace.name for entry in popped]

    def test_branches_are_served_by_their_shares(self):
        self.push(QUOTES, count=40)
        self.push(CREWS, count=40)
        served = self.pop(40)
        self.assertEqual(served.count('rail/crews'), 30)

    def test_urgency_does_not_affect_other_branches(self):
        self.push(QUOTES, priority=9, count=40)
        self.push(CREWS, count=40)
        self.assertEqual(self.pop(40).count('rail/crews'), 30)

    def test_urgency_does_not_starve_a_sibling(self):
        self.push(NOTES, count=10)
        self.push(QUOTES, priority=9, count=100)
        served = self.pop(40)
        self.assertEqual(set(served[:3]), {'head/quotes'})
        self.assertGreaterEqual(served.count('head/notes'), 5)

    def test_idle_share_is_used_by_others_and_returned_at_the_next_turn(self):
        self.push(QUOTES, count=1000)
        self.assertEqual(self.pop(500).count('head/quotes'), 500)
        self.push(CREWS, count=40)
        self.assertEqual(self.pop(8).count('rail/crews'), 6)


class TestDesk(TestCase):
    def setUp(self):
        self.desk = AdmissionController(
            threads=32, router='r1', slowdown=lambda _: 1
        )
        engine = Target(
            name='e',
            kind=TargetKind.ENGINE,
            address='',
            availability_zone='a',
            serves='m',
            last_layer=3,
            step_ms=10,
            slots=2,
        )
        self.view = View(
            version=1,
            targets={'e': engine},
            models={'m': ModelSettings('m', 4)},
            services={'alert': ServiceSettings('alert', True, 4, urgent=True)},
            workspaces={each.name: each for each in (QUOTES, NOTES, CREWS)},
        )
        self.desk.apply_view(self.view, 0)

    def arrive(self, asked, now=0):
        return {
            outcome.request: outcome.refused
            for outcome in self.desk.arrive(asked, now)
        }

    def fill(self, workspace, count, now=0, **more):
        outcomes = {}
        for number in range(count):
            asked = ticket(f'{workspace.name}{number}', workspace, **more)
            outcomes.update(self.arrive(asked, now))
        return outcomes

    def end(self, request, workspace, now, tokens=10):
        asked = ticket(request, workspace)
        return list(self.desk.leave(asked, tokens, now))

    def test_urgent_service_does_not_wait_behind_a_queue(self):
        self.fill(QUOTES, 60)
        alert = ticket('alert', CREWS, serves='alert', is_service=True)
        self.assertEqual(self.arrive(alert), {'alert': None})

    def test_refused_callers_get_different_retry_times(self):
        self.fill(QUOTES, 1)
        self.end('head/quotes0', QUOTES, now=2)
        refusals = [
            each for each in self.fill(QUOTES, 90, now=2).values() if each
        ]
        times = {each.retry_after_s for each in refusals}
        self.assertGreater(len(times), 3)

    def test_request_beyond_the_capacity_is_refused_without_running(
        self,
    ):
        refusals = [each for each in self.fill(QUOTES, 60).values() if each]
        self.assertEqual({each.ran for each in refusals}, {Ran.NO})
        self.assertEqual(
            {each.reason for each in refusals}, {Reason.OVERLOADED}
        )
        self.assertTrue(all(each.retry_after_s for each in refusals))

    def test_branch_below_its_share_displaces_a_request_of_another(self):
        self.fill(QUOTES, 60)
        outcomes = self.arrive(ticket('crew', CREWS))
        self.assertIsNone(outcomes.pop('crew', None))
        self.assertEqual(len(outcomes), 1)

    def test_borrowed_share_is_returned_before_the_borrowers_end(self):
        started = self.fill(QUOTES, 10)
        self.assertIn(None, started.values())
        self.assertIn('crew', self.arrive(ticket('crew', CREWS)))
        self.assertEqual(self.desk.step_priority(ticket('crew')), 1)
        self.assertEqual(self.desk.step_priority(ticket('head/quotes0')), 0)

    def test_request_that_would_miss_its_deadline_is_refused_at_once(self):
        self.fill(QUOTES, 1)
        self.end('head/quotes0', QUOTES, now=4)
        self.fill(QUOTES, 20, now=4)
        outcomes = self.arrive(ticket('late', QUOTES, deadline=5), 4)
        self.assertEqual(outcomes['late'].reason, Reason.OVERLOADED)
        self.assertIs(outcomes['late'].ran, Ran.NO)

    def test_waiting_request_is_refused_once_it_would_miss_its_deadline(self):
        self.fill(QUOTES, 15)
        self.assertEqual(self.arrive(ticket('soon', deadline=9)), {})
        self.end('head/quotes0', QUOTES, now=5)
        refused = list(self.desk.recheck('soon', 5))
        self.assertEqual([each.request for each in refused], ['soon'])
        self.assertIsNotNone(refused[0].refused)

    def test_every_waiting_request_starts_or_is_refused(self):
        outcomes = self.fill(QUOTES, 20)
        running = [name for name, refused in outcomes.items() if not refused]
        answered = set(running)
        while running:
            ended = running.pop()
            started = [each.request for each in self.end(ended, QUOTES, 1)]
            running.extend(started)
            answered.update(started)
        self.assertEqual(len(answered), 20)
