"""An event that can fire repeatedly and wakes all waiting tasks each time."""

import asyncio

import attrs


@attrs.define(kw_only=True, eq=False)
class RepeatingEvent:
    """An event without state: `wait` returns at the next `fire`, not a past one."""

    _event: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def wait(self) -> None:
        """Wait for the next `fire`."""
        await self._event.wait()

    def fire(self) -> None:
        """Wake all current waiters."""
        fired, self._event = self._event, asyncio.Event()
        fired.set()
