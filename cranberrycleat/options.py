"""The command-line options of each program, as typed classes (see `settings`)."""

from typing import Final

import attrs

from cranberrycleat import errors
from cranberrycleat.settings import (
    Choice,
    Integer,
    Listen,
    Name,
    Number,
    Text,
    Url,
    Urls,
    setting,
)
from cranberrycleat.workflow.decisions.load_policies import LoadPolicies
from cranberrycleat.workflow.options import LATE_ORDER_S

MIN_OWNER_LEASES_PER_WORKER_LEASE: Final = 2.0
"""Minimum ratio of the worker lease to the ownership lease. A task must outlive its
owner: a candidate waits for one ownership lease, polls every fifth of one, and then has
to reach the worker."""


@attrs.frozen(kw_only=True)
class CommonOptions:
    """Options common to all daemons."""

    name: str = setting(Name(), "This process's name, unique among its kind.")
    data_centre: str = setting(Name(), "The data centre this process stands in.")
    listen: str = setting(Listen(), "The IP to listen on.", default="127.0.0.1")
    port: int = setting(
        Integer(low=0, high=65535), "The port to listen on; 0 for any.", default=0
    )
    platform: str = setting(Url(), "The platform's base URL.")
    peers: tuple[str, ...] = setting(
        Urls(), "Base URLs of the schedulers and gateways to talk to.", default=()
    )
    platform_timeout_s: float = setting(
        Number(low=0.05, high=60), "How long to wait for the platform.", default=2.0
    )
    digest_s: float = setting(
        Number(low=0.05, high=60), "Seconds between digests to a peer.", default=1.0
    )
    config_poll_s: float = setting(
        Number(low=0.05, high=60), "Seconds between reads of the version.", default=5.0
    )
    drain_s: float = setting(
        Number(low=0, high=600),
        "Seconds to go on answering, not ready, before closing.",
        default=2.0,
    )
    log_level: str = setting(
        Choice(choices=("debug", "info", "warning", "error")),
        "The least severe level to log.",
        default="info",
    )
    log_form: str = setting(
        Choice(choices=("text", "json")), "The form of log lines.", default="text"
    )


@attrs.frozen(kw_only=True)
class SchedulerOptions(CommonOptions):
    """Options of the scheduler."""

    lease_s: float = setting(
        Number(low=0.2, high=600), "Length of the ownership lease.", default=5.0
    )
    worker_lease_s: float = setting(
        Number(low=0.2, high=600),
        "Length of the leases of tasks; at least twice --lease-s.",
        default=20.0,
    )
    sync_s: float = setting(
        Number(low=0.02, high=60),
        "Seconds between syncs with a worker, in a small shard.",
        default=1.0,
    )
    syncs_per_s: float = setting(
        Number(low=1, high=10000),
        "Syncs a second that an owner spends on upkeep, at most.",
        default=32.0,
    )
    order_s: float = setting(
        Number(low=0.05, high=60), "How long an order stays valid.", default=2.0
    )
    round_s: float = setting(
        Number(low=0.01, high=10), "The longest time between rounds.", default=0.5
    )
    release_after_s: float = setting(
        Number(low=0, high=86400),
        "How long a lapsed owner renews tasks that are not kept.",
        default=60.0,
    )
    job_keep_s: float = setting(
        Number(low=1, high=31536000),
        "How long the record of a job that has ended is kept.",
        default=86400.0,
    )
    leave_s: float = setting(
        Number(low=0, high=600),
        "Seconds a leaving worker's services go on answering.",
        default=5.0,
    )

    table_client: str = setting(
        Text(), "The plug-in that speaks to the platform.", default="http"
    )
    worker_client: str = setting(
        Text(), "The plug-in that speaks to workers.", default="http"
    )

    def check(self) -> tuple[errors.Finding, ...]:
        """Return faults in combinations of individually valid settings."""
        minimum = MIN_OWNER_LEASES_PER_WORKER_LEASE * self.lease_s
        if self.worker_lease_s >= minimum:
            return ()
        found = errors.finding(
            "--worker-lease-s",
            errors.BAD_VALUE,
            value=self.worker_lease_s,
            allowed=f"at least {minimum:g}, or tasks stop when an owner dies",
        )
        return (found,)


@attrs.frozen(kw_only=True)
class GatewayOptions(CommonOptions):
    """Options of the gateway."""

    max_waiting: int = setting(
        Integer(low=0, high=100000), "Requests that may wait for a slot.", default=256
    )
    claim_batch_s: float = setting(
        Number(low=0, high=1), "How long claims are gathered for.", default=0.002
    )
    table_client: str = setting(
        Text(), "The plug-in that speaks to the platform.", default="http"
    )
    routing: str = setting(
        Text(), "The plug-in that picks endpoints.", default="least-of-two"
    )


@attrs.frozen(kw_only=True)
class PlatformOptions:
    """Options of the platform stand-in."""

    listen: str = setting(Listen(), "The IP to listen on.", default="127.0.0.1")
    port: int = setting(
        Integer(low=0, high=65535), "The port to listen on; 0 for any.", default=0
    )
    lag_s: float = setting(
        Number(low=0, high=600), "How far the host list lags.", default=0.0
    )
    log_level: str = setting(
        Choice(choices=("debug", "info", "warning", "error")),
        "The least severe level to log.",
        default="info",
    )
    log_form: str = setting(
        Choice(choices=("text", "json")), "The form of log lines.", default="text"
    )


@attrs.frozen(kw_only=True)
class WorkerOptions:
    """Options of the worker stand-in."""

    name: str = setting(Name(), "The worker's name.")
    data_centre: str = setting(Name(), "The data centre it stands in.")
    rack: str = setting(Name(), "The rack it stands in.")
    listen: str = setting(Listen(), "The IP to listen on.", default="127.0.0.1")
    port: int = setting(
        Integer(low=0, high=65535), "The port to listen on; 0 for any.", default=0
    )
    platform: str = setting(Url(), "The platform's base URL.")
    processors: int = setting(
        Integer(low=1, high=4096), "Processors it has.", default=16
    )
    memory_mb: int = setting(
        Integer(low=1, high=1 << 26), "Memory it has, in MiB.", default=32768
    )
    accelerators: int = setting(
        Integer(low=0, high=64), "Accelerators it has.", default=0
    )
    slots: int = setting(
        Integer(low=0, high=4096),
        "Requests that its services handle concurrently.",
        default=8,
    )
    labels: str = setting(Text(), "Labels, as key=value,key=value.", default="")
    log_level: str = setting(
        Choice(choices=("debug", "info", "warning", "error")),
        "The least severe level to log.",
        default="info",
    )
    log_form: str = setting(
        Choice(choices=("text", "json")), "The form of log lines.", default="text"
    )


@attrs.frozen(kw_only=True)
class NodeOptions:
    """Options of the node; its addresses and bounds come from the platform's file."""

    late_order_s: float = setting(
        Number(low=0, high=600),
        "How long a worker may still carry out an order that it did not answer.",
        default=LATE_ORDER_S,
    )
    step_order: str = setting(
        Choice(choices=("deadline", "delay-cost")),
        "How waiting steps are ranked.",
        default="deadline",
    )
    fair_share: str = setting(
        Choice(choices=("off", "weights")),
        "Whether the weights of workspaces count.",
        default="off",
    )
    worker_speeds: str = setting(
        Choice(choices=("off", "learned")),
        "Whether steps are placed by the learned speeds of workers.",
        default="off",
    )
    load_admission: str = setting(
        Choice(choices=("off", "forecast")),
        "Whether jobs that would end too late are rejected.",
        default="off",
    )
    permit_calls: str = setting(
        Choice(choices=("single", "batched")),
        "How calls to the permit service are made.",
        default="single",
    )
    preemption: str = setting(
        Choice(choices=("services", "checkpoints")),
        "For which steps running attempts are preempted.",
        default="services",
    )
    log_level: str = setting(
        Choice(choices=("debug", "info", "warning", "error")),
        "The least severe level to log.",
        default="info",
    )
    log_form: str = setting(
        Choice(choices=("text", "json")), "The form of log lines.", default="json"
    )

    def load_policies(self) -> LoadPolicies:
        """Return the enabled policies for hard load."""
        return LoadPolicies(
            delay_cost_order=self.step_order == "delay-cost",
            weighted_fair_share=self.fair_share == "weights",
            learned_speeds=self.worker_speeds == "learned",
            forecast_admission=self.load_admission == "forecast",
            batched_permits=self.permit_calls == "batched",
            checkpoint_preemption=self.preemption == "checkpoints",
        )
