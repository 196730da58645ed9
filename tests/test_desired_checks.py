"""
When gateways check whether their desired state is the newest, and read the
targets' entries, in virtual time.
"""

from random import Random
from unittest import TestCase

from mallowcrank.gateway import desired_checks, entries_knowledge
from mallowcrank.gateway.check_schedule import CheckAges, CheckSchedule

BOUND_S = 3
AGES = tuple(
    CheckAges(module.MIN_AGE_SHARE * BOUND_S, module.SPREAD_SHARE * BOUND_S)
    for module in (desired_checks, entries_knowledge)
)
LARGE = (84, 195, 385)
LOST_DATAGRAMS = 0.02
STEP_S = 0.01
BROADCAST_S = 0.25
RECIPIENTS = 40  # of a status, at each broadcast
SECONDS = 40


class CheckGroup:
    """
    Gateways that check and tell each other, as long as they hear each other.
    """

    def __init__(self, size, ages, are_heard=True, seconds=SECONDS):
        self.random = Random(1)
        self.confirmed = [0 for _ in range(size)]
        self.read = [0 for _ in range(size)]
        self.checks = 0
        self.max_age_s = 0
        self._are_heard = are_heard
        self._seconds = seconds
        self._told = []
        self._schedules = [
            CheckSchedule(ages, self.random) for _ in range(size)
        ]
        self._phases = [
            self.random.randrange(int(BROADCAST_S / STEP_S))
            for _ in range(size)
        ]
        self._next_recipient = [0 for _ in range(size)]

    def run(self):
        size = len(self.confirmed)
        for step in range(int(self._seconds / STEP_S)):
            now = step * STEP_S
            self._deliver()
            for number in range(size):
                self._check(number, now)
                if (step + self._phases[number]) % int(BROADCAST_S / STEP_S):
                    continue
                if self._are_heard:
                    self._tell(number)

    def _check(self, number, now):
        confirmed_at = self.confirmed[number]
        size = len(self.confirmed) if self._are_heard else 1
        self.max_age_s = max(self.max_age_s, now - confirmed_at)
        if now >= self._schedules[number].due_at(confirmed_at, size):
            self.confirmed[number] = now
            self.read[number] = now
            self.checks += 1
            if self._are_heard:
                self._told.append(now)

    def _deliver(self):
        """
        Deliver what gateways told all others right after their checks.
        """
        for read_at in self._told:
            for number, confirmed_at in enumerate(self.confirmed):
                if self.random.random() > LOST_DATAGRAMS:
                    self.confirmed[number] = max(confirmed_at, read_at)
        self._told.clear()

    def _tell(self, number):
        size = len(self.confirmed)
        for _ in range(min(RECIPIENTS, size - 1)):
            self._next_recipient[number] += 1
            other = (number + self._next_recipient[number]) % size
            self.confirmed[other] = max(
                self.confirmed[other], self.read[number]
            )


class TestCheckSchedule(TestCase):
    def test_knowledge_is_never_older_than_its_share_of_the_bound(self):
        for ages in AGES:
            for size in (1, 6, 24, 84):
                for are_heard in (True, False):
                    with self.subTest(size=size, are_heard=are_heard):
                        group = CheckGroup(size, ages, are_heard)
                        group.run()
                        self.assertLessEqual(
                            group.max_age_s, ages.max_s + 2 * STEP_S
                        )

    def test_one_gateway_checks_for_others(self):
        for ages in AGES:
            for size in (24, 84):
                with self.subTest(size=size):
                    group = CheckGroup(size, ages)
                    group.run()
                    alone = size * SECONDS / BOUND_S
                    self.assertLess(group.checks, alone / 2)

    def test_number_of_checks_does_not_grow_with_the_gateways(self):
        for ages in AGES:
            for size in LARGE:
                with self.subTest(size=size):
                    group = CheckGroup(size, ages, seconds=12)
                    group.run()
                    self.assertLessEqual(group.max_age_s, ages.max_s + STEP_S)
                    # Each sees some that others made at the same moment.
                    rounds = 12 / ages.min_s
                    self.assertLess(group.checks, 6 * rounds)

    def test_a_draw_holds_until_the_next_confirmation(self):
        schedule = CheckSchedule(AGES[0], Random(1))
        first = schedule.due_at(5, 84)
        self.assertEqual(schedule.due_at(5, 84), first)
        self.assertNotEqual(schedule.due_at(6, 84), first + 1)
