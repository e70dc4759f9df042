"""Metrics by OpenTelemetry, readable from each process.

Each process has one `Metrics`: counters and gauges by name, read as JSON at
`/v1/metrics`. The reader is a plug-in, so that an exporter can take its place.
"""

from collections.abc import Callable
from typing import Any, Final

import attrs
from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader
from opentelemetry.sdk.resources import Resource

from cranberrycleat.registry import PluginKind, register

IN_MEMORY: Final = "in-memory"


@register(PluginKind.METRICS, IN_MEMORY)
def in_memory_reader() -> InMemoryMetricReader:
    """Return a reader that keeps what was measured until it is asked."""
    return InMemoryMetricReader()


@attrs.define(kw_only=True, eq=False)
class Metrics:
    """One process's metrics.

    Attributes:
        role: The process's role, put on every metric.
        name: The process's name, put on every metric.
    """

    role: str
    name: str
    _reader: InMemoryMetricReader = attrs.field(factory=in_memory_reader)
    _provider: MeterProvider = attrs.field(init=False)
    _counters: dict[str, Any] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        resource = Resource(
            attributes={"service.name": self.role, "service.instance.id": self.name}
        )
        self._provider = MeterProvider(
            metric_readers=[self._reader],
            resource=resource,
            shutdown_on_exit=False,
        )

    def count(self, name: str, number: int = 1) -> None:
        """Add to a counter."""
        counter = self._counters.get(name)
        if counter is None:
            counter = self._meter().create_counter(f"cranberrycleat.{name}")
            self._counters[name] = counter
        counter.add(number)

    def watch(self, name: str, read: Callable[[], float]) -> None:
        """Have a gauge read by a function whenever the metrics are read."""

        def observe(_: CallbackOptions) -> list[Observation]:
            return [Observation(read())]

        self._meter().create_observable_gauge(
            f"cranberrycleat.{name}", callbacks=[observe]
        )

    def read(self) -> bytes:
        """Return every metric as JSON."""
        data = self._reader.get_metrics_data()
        return b"{}" if data is None else data.to_json(indent=None).encode()

    def _meter(self) -> Any:
        return self._provider.get_meter("cranberrycleat")
