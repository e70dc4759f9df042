"""Learns the speeds of workers from the run times of tasks of one step.

The tasks of a step are alike, so the ratio of their run times on two workers is the
ratio of the workers' speeds, whatever the caller estimated. Each end is compared with
earlier ends of the same step on other workers, and both sides of a comparison are
corrected: fast workers end first, so correcting only the later side would be biased.
Logarithms of speeds are learned, which makes a comparison a difference.
"""

import collections
import math
import statistics
from collections.abc import Collection, Iterator
from typing import Final

import attrs

from cranberrycleat import events
from cranberrycleat.amounts import Amounts
from cranberrycleat.logs import emit
from cranberrycleat.workflow.fleet import FleetWorker, Placement
from cranberrycleat.workflow.ports import WorkerEntry

DEFAULT_SPEED = 1.0
FULL_CONFIDENCE_SAMPLES: Final = 10.0
"""Samples that give full confidence. In a simulated pool of 176 workers, variation of
0.15 within steps, ten ends per worker left a median error of 5 to 8%."""
MAX_SAMPLES: Final = 16.0
"""Samples that a speed is averaged over; a worker that changes is followed as fast."""
MIN_CONFIDENCE: Final = 0.5
"""Below this confidence, a worker's speed counts as unknown."""
RESTART_FACTOR: Final = 0.5
"""Confidence kept by a new incarnation of the same kind and capacity."""
MIN_RUN_S: Final = 0.2
"""Shorter run times are no evidence: an end may be reported as late as that."""
REPORT_DELAY_S: Final = 0.2
"""Typical uncertainty of a run time; runs that are not much longer weigh less."""
MAX_PEERS: Final = 6
"""Earlier ends with which an end is compared. Their median is hardly affected by one
task that takes seven times as long; more peers cost time in steps of 150 tasks."""
MAX_SURPRISE: Final = 0.7
"""Largest correction considered (log): that of a ratio of 2. A task that takes seven
times as long (1.95) counts no more than that."""
SURPRISE_PER_NOISE: Final = 3.0
"""Largest correction considered, in multiples of the pool's mean deviation."""
MIN_NOISE: Final = 0.05
"""Lower bound of a pool's mean deviation, so that no pool ignores new evidence."""
NOISE_GAIN: Final = 0.02
"""Weight of one comparison in a pool's mean deviation."""
ERROR_PER_NOISE: Final = 0.3
"""Standard error of a learned speed (log) per mean deviation of one comparison, in the
same simulation."""
MIN_SPREAD: Final = 0.2
"""Smallest difference (log) between slow and fast workers that is worth acting on."""
SPREAD_ERRORS: Final = 7.0
"""Difference between the 10th and the 90th percentile, in standard errors, above which
a pool is uneven. With equal speeds it reaches 5.5 while workers have few samples: the
error is that of ten of them."""
HYSTERESIS: Final = 0.75
"""An uneven pool becomes even below this share of the limit."""
MIN_KNOWN: Final = 2
"""One in so many workers that ran tasks must be known before a pool counts as uneven:
fast workers are known first, and the median of these would be too high."""
REFRESH_ENDS: Final = 16
"""Ends after which a pool's median and spread are computed again."""
CLASS_RATIO: Final = 1.25
"""Ratio of speed between neighbouring classes. The width of a class is four standard
errors of 5%, so that noise seldom moves a worker to another class."""
MAX_STEPS: Final = 1000
"""Steps of which ended tasks are remembered; ten seconds of arrivals."""
SUMMARY_INTERVAL_S: Final = 5.0
"""Shortest time between two summaries of a pool. Speeds hardly change in that time, and
the table takes a limited number of bytes from each host's link."""
SUMMARY_REFRESH_S: Final = 30.0
"""Age at which an unchanged summary is written again: a successor ignores one that is
older than twice that."""
MISSING_RETENTION_S: Final = 60.0
"""How long the speed of a worker that is not listed is kept, in case it restarts."""


@attrs.frozen(kw_only=True)
class LearnedSpeed:
    """What is known of one worker, as kept in the summary of its pool.

    Attributes:
        worker: The worker's identity.
        born_ms: The start time of its incarnation; 0 if unknown.
        kind: Its first label.
        capacity: Its resources.
        log_speed: The logarithm of its speed, up to a constant of the pool.
        samples: The number of samples that this rests on, up to `MAX_SAMPLES`.
    """

    worker: str
    born_ms: int
    kind: str
    capacity: Amounts
    log_speed: float
    samples: float


@attrs.define(kw_only=True, eq=False)
class _Record:
    """What is known of one worker; `log_speed` is up to a constant of its pool."""

    entry: WorkerEntry
    log_speed: float = 0.0
    samples: float = 0.0
    seen_at: float = 0.0

    @property
    def confidence(self) -> float:
        return min(1.0, self.samples / FULL_CONFIDENCE_SAMPLES)

    def correct(self, surprise: float, weight: float) -> None:
        """Move the speed by a weighted comparison; the first ones move it most."""
        self.log_speed += weight * surprise / (self.samples + 1)
        self.samples = min(MAX_SAMPLES, self.samples + weight)


@attrs.define(kw_only=True, eq=False)
class _Pool:
    """What is known of a pool; `ends` counts those since the last refresh."""

    median: float = 0.0
    uneven: bool = False
    noise: float = 0.2
    ends: int = REFRESH_ENDS
    last_end_at: float = 0.0
    summarized_at: float = float("-inf")
    written_at: float = float("-inf")
    summary: tuple[LearnedSpeed, ...] = ()


@attrs.frozen(kw_only=True)
class _End:
    """A task that ended, and the worker on which it ran."""

    record: _Record
    log_ran: float


def is_evidence(placement: Placement) -> bool:
    """Return whether the run time of an attempt is that of its whole task.

    It is not for attempts that resumed, were throttled or stopped, or began under an
    earlier owner; fillers and services have no run time of their own.
    """
    task = placement.tracked_task
    if task is None or task.step.spec.service or task.step.spec.filler:
        return False
    if placement.saved or placement.throttle < 100 or placement.stopping:
        return False
    return placement.running and math.isfinite(placement.running_since)


@attrs.define(kw_only=True, eq=False)
class SpeedModel:
    """The speeds of workers relative to the median of their pool."""

    _records: dict[str, _Record] = attrs.field(factory=dict)
    _pools: dict[str, _Pool] = attrs.field(factory=dict)
    _ends: "collections.OrderedDict[str, list[_End]]" = attrs.field(
        factory=collections.OrderedDict
    )

    def record_end(
        self, worker: FleetWorker, placement: Placement, ran_s: float, now: float = 0.0
    ) -> None:
        """Record the run time of an attempt that ended as done.

        Args:
            worker: The worker on which it ran.
            placement: The attempt.
            ran_s: How long it ran, in seconds.
            now: The owner's clock.
        """
        task = placement.tracked_task
        if task is None or task.step.spec.gang or not is_evidence(placement):
            return
        if ran_s < MIN_RUN_S or not worker.entry.readable:
            return
        own = self._record_of(worker)
        if own is None:
            if worker.entry.worker in self._records:
                # A later incarnation is known; this one has no future.
                return
            own = _Record(entry=worker.entry)
            self._records[worker.entry.worker] = own
            self._pools.setdefault(worker.entry.pool, _Pool())
        own.seen_at = now
        end = _End(record=own, log_ran=math.log(ran_s))
        earlier = self._earlier_ends(task.step.name)
        weight = 1 / (1 + (REPORT_DELAY_S / ran_s) ** 2)
        self._compare(end, earlier, weight, now)
        earlier.append(end)
        if len(earlier) >= task.step.spec.count:
            del self._ends[task.step.name]

    def speed_of(self, worker: FleetWorker) -> float:
        """Return a worker's speed; 1 if it is unknown."""
        record = self._record_of(worker)
        if record is None or record.confidence < MIN_CONFIDENCE:
            return DEFAULT_SPEED
        return math.exp(record.log_speed - self._pool(worker.entry.pool).median)

    def speed_class(self, worker: FleetWorker) -> int:
        """Return the class of a worker's speed; 0 is that of the pool's median."""
        return round(math.log(self.speed_of(worker)) / math.log(CLASS_RATIO))

    def confidence_of(self, worker: FleetWorker) -> float:
        """Return the confidence in a worker's speed, from 0 to 1."""
        record = self._record_of(worker)
        return 0.0 if record is None else record.confidence

    def is_uneven(self, pool: str) -> bool:
        """Return whether the known speeds of a pool differ by more than their error."""
        return self._pool(pool).uneven

    def age_s(self, pool: str, now: float) -> float:
        """Return how long ago the last evidence about a pool arrived, in seconds."""
        return max(0.0, now - self._pool(pool).last_end_at)

    # --- summaries ------------------------------------------------------------

    def take_due_summaries(
        self, listed: Collection[str], now: float
    ) -> Iterator[tuple[str, tuple[LearnedSpeed, ...]]]:
        """Yield the pools whose summary is due and changed or old, with the summary.

        Args:
            listed: The identities of the workers that the owner knows.
            now: The owner's clock.
        """
        for name, pool in self._pools.items():
            if now < pool.summarized_at + SUMMARY_INTERVAL_S:
                continue
            pool.summarized_at = now
            self._forget_missing(name, listed, now)
            summary = tuple(map(_summarize, self._known(name)))
            is_old = now >= pool.written_at + SUMMARY_REFRESH_S
            if summary and (is_old or summary != pool.summary):
                pool.summary = summary
                pool.written_at = now
                yield name, summary

    def restore(
        self,
        pool: str,
        summary: tuple[LearnedSpeed, ...],
        *,
        now: float = 0.0,
        age_s: float = 0.0,
    ) -> None:
        """Adopt the summary of an earlier owner.

        Args:
            pool: The pool.
            summary: What the earlier owner knew of its workers.
            now: The owner's clock.
            age_s: How long ago the summary was written, in seconds.
        """
        for each in summary:
            entry = WorkerEntry(
                worker=each.worker,
                pool=pool,
                address="",
                data_centre="",
                leaving=False,
                capacity=each.capacity,
                labels=(each.kind,),
                born_ms=each.born_ms,
            )
            self._records[each.worker] = _Record(
                entry=entry,
                log_speed=each.log_speed,
                samples=min(MAX_SAMPLES, max(0.0, each.samples)),
                seen_at=now,
            )
        found = self._pools.setdefault(pool, _Pool())
        found.ends = REFRESH_ENDS
        found.last_end_at = now - age_s

    def _forget_missing(self, pool: str, listed: Collection[str], now: float) -> None:
        for name, record in list(self._records.items()):
            if record.entry.pool != pool:
                continue
            if name in listed:
                record.seen_at = now
            elif now - record.seen_at > MISSING_RETENTION_S:
                del self._records[name]

    # --- learning -------------------------------------------------------------

    def _record_of(self, worker: FleetWorker) -> _Record | None:
        """Return what is known of a worker, adapted to its incarnation."""
        entry = worker.entry
        record = self._records.get(entry.worker)
        if record is None or record.entry is entry:
            return record
        before = record.entry
        if not entry.readable or 0 < entry.born_ms < before.born_ms:
            # The kind of an unregistered incarnation is not known yet, and what an
            # earlier incarnation reports is no evidence about its successor.
            return None
        restarted = entry.incarnation != before.incarnation
        if _kind(entry) != _kind(before) or (
            restarted and entry.capacity != before.capacity
        ):
            del self._records[entry.worker]
            emit(
                events.SpeedDiscarded(
                    worker=entry.incarnation,
                    kind=_kind(entry),
                    kind_before=_kind(before),
                    speed=round(math.exp(record.log_speed), 3),
                )
            )
            return None
        if restarted:
            known = min(record.samples, FULL_CONFIDENCE_SAMPLES)
            record.samples = known * RESTART_FACTOR
        record.entry = entry
        return record

    def _earlier_ends(self, step: str) -> list[_End]:
        ends = self._ends.get(step)
        if ends is None:
            ends = self._ends[step] = []
            if len(self._ends) > MAX_STEPS:
                self._ends.popitem(last=False)
        return ends

    def _compare(
        self, end: _End, earlier: list[_End], weight: float, now: float
    ) -> None:
        """Correct the speeds of a worker and of those that ran tasks of its step.

        A task gives one sample when it ends, and about one more in the comparisons of
        the ends that follow.
        """
        own = end.record
        others = [each for each in earlier if each.record is not own]
        if not others:
            return
        peers = others[:: math.ceil(len(others) / MAX_PEERS)]
        pool = self._pools.setdefault(own.entry.pool, _Pool())
        found = [
            each.log_ran + each.record.log_speed - end.log_ran - own.log_speed
            for each in peers
        ]
        surprise = _clip(statistics.median(found), pool.noise)
        pool.noise += NOISE_GAIN * (abs(surprise) - pool.noise)
        own.correct(surprise, weight)
        for each, value in zip(peers, found, strict=True):
            each.record.correct(-_clip(value, pool.noise), weight / len(peers))
        pool.last_end_at = now
        pool.ends += 1

    def _pool(self, name: str) -> _Pool:
        pool = self._pools.get(name)
        if pool is None:
            return _Pool()
        if pool.ends >= REFRESH_ENDS:
            pool.ends = 0
            self._refresh(name, pool)
        return pool

    def _refresh(self, name: str, pool: _Pool) -> None:
        """Compute the median of a pool and whether it is uneven."""
        records = [r for r in self._records.values() if r.entry.pool == name]
        speeds = sorted(each.log_speed for each in self._known(name))
        if not records:
            return
        pool.median = statistics.median(each.log_speed for each in records)
        if len(speeds) * MIN_KNOWN < len(records):
            return
        tenth = len(speeds) // 10
        spread = speeds[-1 - tenth] - speeds[tenth]
        error = ERROR_PER_NOISE * max(MIN_NOISE, pool.noise)
        limit = max(MIN_SPREAD, SPREAD_ERRORS * error)
        uneven = spread > (limit * HYSTERESIS if pool.uneven else limit)
        if uneven is not pool.uneven:
            pool.uneven = uneven
            emit(
                events.SpeedsUneven(
                    pool=name,
                    uneven=uneven,
                    known=len(speeds),
                    slow=round(math.exp(speeds[tenth] - pool.median), 3),
                    fast=round(math.exp(speeds[-1 - tenth] - pool.median), 3),
                    error=round(error, 3),
                )
            )

    def _known(self, pool: str) -> Iterator[_Record]:
        for each in self._records.values():
            if each.entry.pool == pool and each.confidence >= MIN_CONFIDENCE:
                yield each


def _clip(surprise: float, noise: float) -> float:
    bound = min(MAX_SURPRISE, SURPRISE_PER_NOISE * max(MIN_NOISE, noise))
    return max(-bound, min(bound, surprise))


def _kind(entry: WorkerEntry) -> str:
    return entry.labels[0] if entry.labels else ""


def _summarize(record: _Record) -> LearnedSpeed:
    entry = record.entry
    return LearnedSpeed(
        worker=entry.worker,
        born_ms=entry.born_ms,
        kind=_kind(entry),
        capacity=entry.capacity,
        log_speed=round(record.log_speed, 2),
        samples=round(record.samples),
    )
