"""The steps that wait for placement, indexed by what they require of a worker.

Hundreds of steps may wait for a label or a capacity that no worker has at present, for
as long as that lasts. The index lets a scheduling round rule out all steps with equal
requirements at once, so that they cost other steps nothing.
"""

import collections
from collections.abc import Iterator, MutableMapping

import attrs

from cranberrycleat.amounts import Amounts
from cranberrycleat.workflow.fleet import reserved_resources
from cranberrycleat.workflow.state import StepRun


@attrs.frozen(kw_only=True)
class Requirements:
    """What a step requires of a worker.

    Attributes:
        pool: The pool of its queue.
        label: The label that the worker must have; empty for any worker.
        needs: The resources that one of its tasks reserves.
    """

    pool: str
    label: str
    needs: Amounts


@attrs.define(kw_only=True, eq=False)
class RequirementGroup:
    """The waiting steps with equal requirements.

    Attributes:
        requirements: The requirements.
        steps: The steps by name, those first whose wait is to be logged next.
    """

    requirements: Requirements
    steps: "collections.OrderedDict[str, StepRun]" = attrs.field(
        factory=collections.OrderedDict
    )


@attrs.define(kw_only=True, eq=False)
class WaitingSteps(MutableMapping[str, StepRun]):
    """Steps with tasks to be placed, by name and by requirements.

    A step stays after its last task was placed until a round removes it, which checks
    only the steps that were added or changed since the round before.
    """

    _steps: dict[str, StepRun] = attrs.field(factory=dict)
    _groups: "collections.OrderedDict[Requirements, RequirementGroup]" = attrs.field(
        factory=collections.OrderedDict
    )
    _changed: dict[str, StepRun] = attrs.field(factory=dict)

    def __getitem__(self, name: str) -> StepRun:
        return self._steps[name]

    def __setitem__(self, name: str, step: StepRun) -> None:
        known = self._steps.get(name)
        self._changed[name] = step
        if known is step:
            return
        if known is not None:
            self._remove_from_group(known)
        self._steps[name] = step
        requirements = requirements_of(step)
        group = self._groups.get(requirements)
        if group is None:
            group = RequirementGroup(requirements=requirements)
            self._groups[requirements] = group
            self._groups.move_to_end(requirements, last=False)
        group.steps[name] = step
        group.steps.move_to_end(name, last=False)

    def __delitem__(self, name: str) -> None:
        step = self._steps.pop(name)
        self._changed.pop(name, None)
        self._remove_from_group(step)

    def __iter__(self) -> Iterator[str]:
        return iter(self._steps)

    def __len__(self) -> int:
        return len(self._steps)

    def groups(self) -> list[RequirementGroup]:
        """Return the steps by requirements."""
        return list(self._groups.values())

    def note_changed(self, step: StepRun) -> None:
        """Record that the tasks of a step have changed."""
        name = step.name
        if name in self._steps:
            self._changed[name] = step

    def take_changed(self) -> list[StepRun]:
        """Return the steps added or changed since this was last called."""
        changed, self._changed = self._changed, {}
        return list(changed.values())

    def defer(self, group: RequirementGroup) -> None:
        """Move a group behind all others."""
        self._groups.move_to_end(group.requirements)

    def _remove_from_group(self, step: StepRun) -> None:
        requirements = requirements_of(step)
        group = self._groups[requirements]
        del group.steps[step.name]
        if not group.steps:
            del self._groups[requirements]


def requirements_of(step: StepRun) -> Requirements:
    """Return what a step requires of a worker."""
    return Requirements(
        pool=step.job.queue.pool,
        label=step.spec.label,
        needs=reserved_resources(step.spec),
    )
