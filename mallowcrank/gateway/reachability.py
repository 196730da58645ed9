"""
Whether this gateway is cut off from the targets, while others reach them.

Targets that are silent for this gateway alone are the fault of its own links;
targets that are silent for all have failed. So when several targets turn silent,
others are probed at once, and the result is compared with what the other
gateways report.
"""

import asyncio
from collections.abc import Callable
from random import Random

from mallowcrank.gateway.clock import monotonic_s
from mallowcrank.gateway.datagrams import GatewayStatus
from mallowcrank.gateway.fleet import Fleet
from mallowcrank.gateway.journal import Journal
from mallowcrank.gateway.meters import Meters
from mallowcrank.gateway.peers import Peers
from mallowcrank.gateway.prober import ProbeCause, Prober
from mallowcrank.gateway.target_sweep import TargetSweep

CHECK_INTERVAL_S = 0.1
MIN_SILENT = 3  # targets that turn silent before others are probed
# Hysteresis: a gateway counts as cut off until it reaches half of the targets.
CUT_OFF_SHARE = 0.9
RETURN_SHARE = 0.5
# Of the targets; a series of crashes is no sign of a cut.
DOUBT_SHARE = 0.3
DOUBT_S = 0.6  # after another target has turned silent for this gateway alone
ALONE_S = 1.0  # without a gateway that is better off; statuses may be lost


class Reachability:
    """
    Compares the targets that this gateway reaches with those of the others.
    """

    def __init__(
        self,
        fleet: Fleet,
        peers: Peers,
        prober: Prober,
        journal: Journal,
        meters: Meters,
        on_cut_off: Callable[[], None],
    ) -> None:
        """
        Set the parts to compare.

        :param on_cut_off: is called when this gateway finds that it is cut off.
        """
        self._fleet = fleet
        self._peers = peers
        self._prober = prober
        self._journal = journal
        self._meters = meters
        self._on_cut_off = on_cut_off
        self._is_cut_off = False
        self._target_sweep = TargetSweep(Random(), monotonic_s())
        self._silent = 0
        self._in_doubt_until = 0
        self._better_off_at = monotonic_s()
        self._better_off: tuple[GatewayStatus, ...] = ()

    @property
    def is_cut_off(self) -> bool:
        """
        Return whether this gateway reaches next to no target, while another
        one does.
        """
        return self._is_cut_off

    @property
    def is_in_doubt(self) -> bool:
        """
        Return whether this gateway is cut off, or may be.
        """
        if self._is_cut_off:
            return True
        return bool(self._better_off) and monotonic_s() < self._in_doubt_until

    @property
    def better_off(self) -> tuple[GatewayStatus, ...]:
        """
        Return the gateways that accept callers and reach most of the targets
        that are silent for this one; none if only few are.
        """
        return self._better_off

    def live_statuses(self) -> list[GatewayStatus]:
        """
        Return the statuses of the other live gateways.
        """
        return [peer.last_status for peer in self._peers.live()]

    async def run(self) -> None:
        """
        Compare until cancelled.
        """
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.update()

    def update(self) -> None:
        """
        Compare once, and probe targets where that isn't enough.
        """
        silent = len(self._fleet.health.unresponsive())
        min_silent = max(1, min(MIN_SILENT, len(self._fleet)))
        if not self._is_cut_off and silent < min_silent:
            self._silent = silent
            self._target_sweep.reset()
            self._better_off = ()
            return
        now = monotonic_s()
        has_risen = silent > self._silent
        if has_risen and silent >= DOUBT_SHARE * len(self._fleet):
            self._in_doubt_until = now + DOUBT_S
        self._silent = silent
        self._better_off = self._find_better_off()
        if self._better_off:
            self._better_off_at = now
        is_alone = now - self._better_off_at > ALONE_S
        if self._is_cut_off:
            if is_alone or silent <= RETURN_SHARE * len(self._fleet):
                self._change(is_cut_off=False)
        elif self._better_off and silent >= CUT_OFF_SHARE * len(self._fleet):
            self._change(is_cut_off=True)
        else:
            self._sweep(now)

    def _find_better_off(self) -> tuple[GatewayStatus, ...]:
        unresponsive = self._fleet.health.unresponsive()
        silent = {lifetime.identity for lifetime in unresponsive}
        return tuple(
            status
            for status in self.live_statuses()
            if status.accepts_callers
            and not status.is_cut_off
            and 2 * len(silent.intersection(status.unresponsive_targets))
            < len(silent)
        )

    def _sweep(self, now: float) -> None:
        """
        Probe some targets that aren't known to be silent, or all of them.
        """
        unresponsive = self._fleet.health.unresponsive()
        targets = map(self._fleet.find, self._fleet.raw_entries)
        answering = [
            target.lifetime
            for target in targets
            if target and target.lifetime not in unresponsive
        ]
        self._target_sweep.gateways = 1 + len(self.live_statuses())
        chosen = self._target_sweep.choose(answering, unresponsive, now)
        if chosen:
            self._prober.probe(chosen, ProbeCause.SWEEP)

    def _change(self, is_cut_off: bool) -> None:
        self._is_cut_off = is_cut_off
        self._prober.set_cut_off(is_cut_off)
        if is_cut_off:
            self._on_cut_off()
        self._meters.is_cut_off.set(is_cut_off)
        self._journal.say(
            'reach: cut off' if is_cut_off else 'reach: back',
            targets=len(self._fleet),
            silent=len(self._fleet.health.unresponsive()),
            better_off=[status.host for status in self._better_off],
        )
