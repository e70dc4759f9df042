"""Decisions of the owner, without I/O: the policies to read and extend first.

A module here takes typed snapshots or the cluster state and returns what to do. It
opens no connection, reads no row and awaits nothing, so that a test plays thousands of
jobs through it in a second; an import contract (`pyproject.toml`) enforces this. The
owner and its dispatcher carry the results out (`workflow/owner`, `workflow/dispatcher`,
`workflow/links`).

- `planner`: one scheduling round; calls the modules below
- `round_scan`: which of the waiting steps a round considers
- `ordering`, `tiered_order`: in which order waiting steps are placed
- `gang_reservation`: what is kept free for gangs that wait
- `fair_share`: which jobs are within the entitlement of their workspace
- `job_admission` (with `admission_record`, `retry_spread`): which jobs are rejected
- `load_forecast` (with `load_snapshot`, `capacity_curve`, `job_shape`, `first_rank`):
  when a job would begin and end; `forecast_outcomes` compares that with the outcome
- `pool_snapshot`, `locality`, `permit_choice`, `task_counts`, `best_fit`: on which
  workers a step may be placed, and the best of them
- `speed_model`, `runtime_estimates`, `speed_choice`: how fast workers are, how long
  tasks run, and which speed a step needs
- `isolation`, `retrying`, `exclusion`: how a failed or suspect task is retried, and
  which workers its retries avoid until when
- `stalls`, `wait_report`: when precautions yield to a step that waits beside room, and
  what is reported about steps that wait
- `preemption`, `preemption_victims`, `preemption_budget`, `service_preemption`,
  `filler_throttling`, `progress`, `evacuation`: which running attempts are stopped or
  slowed down
- `feasibility`: which jobs can never run

To add a policy, say an order of steps by size: write a class with the method `rank` of
`ordering.StepOrder`, give `load_policies.LoadPolicies` a field for it, build it in
`load_control.make_load_control`, and add a setting to `options.NodeOptions` whose
default leaves it off. `planner`, permit calls, forecast and preemption then use it.
Test it on an in-memory `ClusterState`, as `tests/test_delay_cost_order.py` does.
"""
