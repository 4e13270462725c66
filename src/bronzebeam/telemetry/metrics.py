"""Counters, gauges and latency histograms in the Prometheus text format."""

import re
from collections.abc import Callable, Iterator, Sequence
from typing import Final, Generic, Protocol, TypeVar

from bronzebeam.telemetry.histogram import LatencyHistogram

CONTENT_TYPE: Final = "text/plain; version=0.0.4; charset=utf-8"
METRIC_NAME: Final = re.compile(r"[a-z][a-z0-9_]*")
LABEL_NAME: Final = re.compile(r"[a-z][a-z0-9_]*")
GAUGE_UNITS: Final = (
    "_seconds",
    "_bytes",
    "_share",
    "_count",
    "_revision",
    "_version",
    "_info",
)


class Metric(Protocol):
    """A metric with fixed label values."""

    def samples(self, *, now_seconds: float) -> Iterator[tuple[str, str, float]]:
        """Yield the name suffix, an additional label pair or "", and the value."""


class Counter:
    """A value that only increases."""

    def __init__(self) -> None:
        self.value = 0.0

    def increment(self, amount: float = 1.0) -> None:
        """
        Add `amount`.

        :raises ValueError: if the amount is negative.
        """
        if amount < 0:
            raise ValueError("a counter cannot decrease")
        self.value += amount

    def samples(self, *, now_seconds: float) -> Iterator[tuple[str, str, float]]:
        """Yield the count."""
        yield "", "", self.value


class Gauge:
    """A value that can increase and decrease."""

    def __init__(self) -> None:
        self.value = 0.0

    def set(self, value: float) -> None:
        """Replace the value."""
        self.value = value

    def samples(self, *, now_seconds: float) -> Iterator[tuple[str, str, float]]:
        """Yield the value."""
        yield "", "", self.value


class LatencyMetric(LatencyHistogram):
    """A latency histogram that is rendered as a summary."""

    def samples(self, *, now_seconds: float) -> Iterator[tuple[str, str, float]]:
        """Yield the quantiles of the window, the sum and the count."""
        quantiles = self.quantiles_seconds(now_seconds=now_seconds)
        for percentile, seconds in quantiles.items():
            yield "", f'quantile="{percentile / 100:g}"', seconds
        yield "_sum", "", self.sum_seconds
        yield "_count", "", float(self.count)


MetricT = TypeVar("MetricT", bound=Metric)


class MetricFamily(Generic[MetricT]):
    """
    All metrics with one name, one per combination of label values.

    Label values come only from documents and fixed sets, never from callers, so that
    their number stays limited.
    """

    def __init__(
        self,
        *,
        name: str,
        kind: str,
        help_text: str,
        label_names: Sequence[str],
        build: Callable[[], MetricT],
    ) -> None:
        self.name = name
        self.kind = kind
        self._help_text = help_text
        self.label_names = tuple(label_names)
        self._build = build
        self._metrics: dict[tuple[str, ...], MetricT] = {}

    def labels(self, **labels: str) -> MetricT:
        """
        Return the metric with these label values, created on first use.

        :raises KeyError: if a label is missing.
        :raises ValueError: if there is a label that the family does not have.
        """
        values = tuple([str(labels[name]) for name in self.label_names])
        metric = self._metrics.get(values)
        if metric is not None and len(labels) == len(values):
            return metric
        if len(labels) != len(values):
            raise ValueError(f"{self.name} has only the labels {self.label_names}")
        metric = self._metrics[values] = self._build()
        return metric

    def forget(self, *, label: str, value: str) -> None:
        """Remove the metrics that have this value of a label."""
        index = self.label_names.index(label)
        for values in [item for item in self._metrics if item[index] == value]:
            del self._metrics[values]

    def render(self, *, now_seconds: float) -> Iterator[str]:
        """Yield the lines of the text format."""
        yield f"# HELP {self.name} {_escape_help(self._help_text)}"
        yield f"# TYPE {self.name} {self.kind}"
        for values, metric in self._metrics.items():
            pairs = [
                f'{name}="{_escape_label(value)}"'
                for name, value in zip(self.label_names, values)
            ]
            for suffix, pair, value in metric.samples(now_seconds=now_seconds):
                labels = ",".join([*pairs, pair] if pair else pairs)
                braced = f"{{{labels}}}" if labels else ""
                yield f"{self.name}{suffix}{braced} {_format_number(value)}"


class MetricRegistry:
    """The metrics of one process."""

    def __init__(self) -> None:
        self._families: dict[
            str,
            MetricFamily[Counter] | MetricFamily[Gauge] | MetricFamily[LatencyMetric],
        ]
        self._families = {}

    def counter(
        self, *, name: str, help_text: str, label_names: Sequence[str] = ()
    ) -> MetricFamily[Counter]:
        """
        Register counters.

        :param name: ends in `_total`.
        :raises ValueError: if the name is already registered or lacks its unit.
        """
        family = MetricFamily(
            name=name,
            kind="counter",
            help_text=help_text,
            label_names=label_names,
            build=Counter,
        )
        self._add(family, units=("_total",))
        return family

    def gauge(
        self, *, name: str, help_text: str, label_names: Sequence[str] = ()
    ) -> MetricFamily[Gauge]:
        """
        Register gauges.

        :param name: ends in one of `GAUGE_UNITS`.
        :raises ValueError: if the name is already registered or lacks its unit.
        """
        family = MetricFamily(
            name=name,
            kind="gauge",
            help_text=help_text,
            label_names=label_names,
            build=Gauge,
        )
        self._add(family, units=GAUGE_UNITS)
        return family

    def latency(
        self, *, name: str, help_text: str, label_names: Sequence[str] = ()
    ) -> MetricFamily[LatencyMetric]:
        """
        Register latency histograms, rendered as summaries.

        :param name: ends in `_seconds`.
        :raises ValueError: if the name is already registered or lacks its unit.
        """
        family = MetricFamily(
            name=name,
            kind="summary",
            help_text=help_text,
            label_names=label_names,
            build=LatencyMetric,
        )
        self._add(family, units=("_seconds",))
        return family

    def render(self, *, now_seconds: float) -> str:
        """Render all metrics; serve the result as `CONTENT_TYPE`."""
        lines = [
            line
            for family in self._families.values()
            for line in family.render(now_seconds=now_seconds)
        ]
        return "".join(f"{line}\n" for line in lines)

    def _add(
        self,
        family: (
            "MetricFamily[Counter] | MetricFamily[Gauge] | MetricFamily[LatencyMetric]"
        ),
        *,
        units: Sequence[str],
    ) -> None:
        name = family.name
        if name in self._families:
            raise ValueError(f"metric {name} is registered twice")
        if not METRIC_NAME.fullmatch(name) or not name.endswith(tuple(units)):
            raise ValueError(f"metric {name} must end in one of {tuple(units)}")
        for label in family.label_names:
            if not LABEL_NAME.fullmatch(label) or label == "quantile":
                raise ValueError(f"metric {name} cannot have the label {label}")
        self._families[name] = family


def _escape_label(value: str) -> str:
    return value.replace("\\", "\\\\").replace("\n", "\\n").replace('"', '\\"')


def _escape_help(text: str) -> str:
    return text.replace("\\", "\\\\").replace("\n", "\\n")


def _format_number(value: float) -> str:
    return str(int(value)) if value == int(value) else repr(value)
