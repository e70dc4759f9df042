"""Which policies for hard load are enabled; see docs/design/hard-load.md."""

import attrs


@attrs.frozen(kw_only=True)
class LoadPolicies:
    """The policies for hard load, as set by `options.NodeOptions`.

    All are disabled by default. An enabled policy has no effect where the
    configuration gives it nothing to act on.

    Attributes:
        delay_cost_order: Rank waiting steps by the cost of delaying them.
        weighted_fair_share: Honour the weights of workspaces.
        learned_speeds: Learn the speeds of workers and place steps by them.
        forecast_admission: Reject jobs that are forecast to end too late.
        batched_permits: Batch permit calls and send urgent ones first.
        checkpoint_preemption: Preempt checkpointed work for urgent steps.
    """

    delay_cost_order: bool = False
    weighted_fair_share: bool = False
    learned_speeds: bool = False
    forecast_admission: bool = False
    batched_permits: bool = False
    checkpoint_preemption: bool = False
