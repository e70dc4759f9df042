"""A signal that fires again and again, for any number of waiting tasks."""

import asyncio

import attrs


@attrs.define(kw_only=True, eq=False)
class RepeatingEvent:
    """Each `wait` ends with the next `fire`, never with one that was before."""

    _event: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def wait(self) -> None:
        """Wait until the signal fires next."""
        await self._event.wait()

    def fire(self) -> None:
        """End every wait that is under way."""
        fired, self._event = self._event, asyncio.Event()
        fired.set()
