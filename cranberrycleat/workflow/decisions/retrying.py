"""Delays before a failed task is retried.

There are two failure patterns. Some tasks fail sporadically by their own fault, and a
few always: 9% of the short jobs at low load had a failed attempt, and delays of 0.3,
0.6 and 1.2 s between attempts caused nearly all missed objectives (60 of 819 jobs were
late; short jobs have a slack of 0.25 s plus half of their run time). Other failures are
caused by workers that fail within milliseconds whatever they start; a task that returns
to such a worker would use up its attempts there. The planner retries a task on another
worker (`Planner._exclude_failed_workers`), so a delay protects only the last attempt,
which is not followed by another: by then a failing worker has been detected and
quarantined. A task that failed on two workers is itself at fault and needs no such
protection.

A member of a service is restarted however often it ends. Only a growing delay keeps
a member that cannot start from using up the owner's time.
"""

from typing import Final

LAST_ATTEMPT_DELAY_S: Final = 0.3
"""Delay before the last attempt. At 20 starts per second on 24 workers, a worker that
fails what it starts has failed three tasks of several jobs within 0.2 s and is then
quarantined."""
TASK_FAULT_WORKERS: Final = 2
"""A task that failed on this many workers is itself at fault. If one worker in twelve
fails whatever it starts, the probability of meeting two of them is 1 in 130."""
SERVICE_RESTART_DELAY_S: Final = 0.3
"""Delay before the first restart of a service member; doubles with each failure."""
MAX_SERVICE_RESTART_DELAY_S: Final = 2.4


def retry_delay_s(
    *, failures: int, most_attempts: int, failed_on: int, service: bool
) -> float:
    """Return how long a task waits after a failed attempt, in seconds.

    Args:
        failures: Number of its failed attempts, including this one.
        most_attempts: Number of failed attempts after which its job fails.
        failed_on: Number of different workers on which they failed, as far as known.
        service: Whether it runs until it is cancelled.
    """
    if service:
        doubled = SERVICE_RESTART_DELAY_S * 2.0 ** max(0, failures - 1)
        return min(MAX_SERVICE_RESTART_DELAY_S, doubled)
    is_last_attempt = most_attempts - failures <= 1
    return (
        LAST_ATTEMPT_DELAY_S
        if is_last_attempt and failed_on < TASK_FAULT_WORKERS
        else 0.0
    )
