"""When a task whose attempt failed may be tried again.

Answers two patterns. Some tasks fail now and then by their own fault, and a few
always: of the short jobs of a calm day 9% had a failed attempt, and pauses of
0.3, 0.6 and 1.2 s between attempts made nearly all of those late that were late
(60 of 819; short jobs have 0.25 s and half of their run time to spare). And some
workers fail within milliseconds whatever they start; a task that went back to one
would use up its attempts there. The planner sends a task elsewhere after a
failure (`Planner._trusted`), so a pause protects only the last attempt, which no
other follows: by then a failing worker has been told apart and rests. A task that
failed on two workers is at fault itself, and needs no protection from them.

A member of a service is started again as often as it ends, so that nothing but
a growing pause keeps one that cannot start from taking up its owner.
"""

from typing import Final

LAST_ATTEMPT_DELAY_S: Final = 0.3
"""Before the last attempt. A worker that fails what it starts has failed three of
several jobs, and rests, within 0.2 s at 20 starts a second and 24 workers."""
TASK_FAULT_WORKERS: Final = 2
"""A task that failed on so many workers fails by its own fault: that two of them
fail whatever they start is a chance of 1 in 130 where a twelfth of them do."""
SERVICE_RESTART_DELAY_S: Final = 0.3
"""Before the first restart of a service's member; it doubles with each failure."""
MAX_SERVICE_RESTART_DELAY_S: Final = 2.4


def retry_delay_s(
    *, failures: int, most_attempts: int, failed_on: int, service: bool
) -> float:
    """Return how long a task waits after a failed attempt, in seconds.

    Args:
        failures: How many of its attempts have failed, this one among them.
        most_attempts: How many may fail before its job is given up.
        failed_on: On how many workers they failed, as far as is known.
        service: Whether it lasts until it is cancelled.
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
