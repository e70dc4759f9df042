"""OpenTelemetry metrics, served by each process.

Each process has one `Metrics` with counters, histograms and gauges by name, served as
JSON at `/v1/metrics`. The reader is a plug-in, so that an exporter can replace it.
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
BUCKETS_S: Final = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30)
"""The bucket bounds of the histograms, in seconds."""


@register(PluginKind.METRICS, IN_MEMORY)
def in_memory_reader() -> InMemoryMetricReader:
    """Return a reader that keeps the measurements in memory until they are read."""
    return InMemoryMetricReader()


@attrs.define(kw_only=True, eq=False)
class Metrics:
    """The metrics of one process.

    Attributes:
        role: The role of the process, added to every metric.
        name: The name of the process, added to every metric.
    """

    role: str
    name: str
    _reader: InMemoryMetricReader = attrs.field(factory=in_memory_reader)
    _provider: MeterProvider = attrs.field(init=False)
    _counters: dict[str, Any] = attrs.field(factory=dict)
    _histograms: dict[str, Any] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        resource = Resource(
            attributes={"service.name": self.role, "service.instance.id": self.name}
        )
        self._provider = MeterProvider(
            metric_readers=[self._reader],
            resource=resource,
            shutdown_on_exit=False,
        )

    def count(self, name: str, number: int = 1, **labels: str) -> None:
        """Add to a counter, with labels that distinguish its series."""
        counter = self._counters.get(name)
        if counter is None:
            counter = self._meter().create_counter(f"cranberrycleat.{name}")
            self._counters[name] = counter
        counter.add(number, labels)

    def record(self, name: str, seconds: float, **labels: str) -> None:
        """Add a duration to a histogram."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = self._meter().create_histogram(
                f"cranberrycleat.{name}",
                unit="s",
                explicit_bucket_boundaries_advisory=BUCKETS_S,
            )
            self._histograms[name] = histogram
        histogram.record(seconds, labels)

    def add_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Add a gauge whose value is returned by a function on every read."""

        def observe(_: CallbackOptions) -> list[Observation]:
            return [Observation(read())]

        self._meter().create_observable_gauge(
            f"cranberrycleat.{name}", callbacks=[observe]
        )

    def read(self) -> bytes:
        """Return all metrics as JSON."""
        data = self._reader.get_metrics_data()
        return b"{}" if data is None else data.to_json(indent=None).encode()

    def text(self) -> str:
        """Return all metrics in the Prometheus text format."""
        data = self._reader.get_metrics_data()
        lines: list[str] = []
        for resource in () if data is None else data.resource_metrics:
            for scope in resource.scope_metrics:
                for metric in scope.metrics:
                    lines += _metric_lines(metric)
        return "\n".join(lines) + "\n"

    def _meter(self) -> Any:
        return self._provider.get_meter("cranberrycleat")


def _metric_lines(metric: Any) -> list[str]:
    name = metric.name.replace(".", "_")
    lines: list[str] = []
    for point in metric.data.data_points:
        labels = dict(point.attributes or {})
        if not hasattr(point, "bucket_counts"):
            lines.append(f"{name}{_labels(labels)} {point.value}")
            continue
        total = 0
        bounds = [*(f"{bound:g}" for bound in point.explicit_bounds), "+Inf"]
        for bound, count in zip(bounds, point.bucket_counts, strict=True):
            total += count
            lines.append(f"{name}_bucket{_labels({**labels, 'le': bound})} {total}")
        lines.append(f"{name}_sum{_labels(labels)} {point.sum:g}")
        lines.append(f"{name}_count{_labels(labels)} {point.count}")
    return lines


def _labels(labels: dict[str, Any]) -> str:
    if not labels:
        return ""
    parts = (f'{key}="{value}"' for key, value in sorted(labels.items()))
    return "{" + ",".join(parts) + "}"
