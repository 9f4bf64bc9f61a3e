"""OpenTelemetry metrics, exported to Prometheus.

Modules create instruments of their own with ``opentelemetry.metrics``; those of
the request path are listed in `INSTRUMENTS`.
"""

from dataclasses import dataclass

from aiohttp import web
from opentelemetry import metrics

COUNTER = "counter"
HISTOGRAM = "histogram"


@dataclass(frozen=True)
class Instrument:
    """Definition of a counter or histogram."""

    name: str
    kind: str
    unit: str
    description: str


INSTRUMENTS = (
    Instrument("calls", COUNTER, "1", "Calls answered, by route and code."),
    Instrument("call_duration", HISTOGRAM, "s", "Time from call to whole answer."),
    Instrument("first_token", HISTOGRAM, "s", "Time from call to first token."),
    Instrument("queue_wait", HISTOGRAM, "s", "Time that a call waited for a slot."),
    Instrument("prompt_tokens", COUNTER, "1", "Prompt tokens, by pool."),
    Instrument("cached_tokens", COUNTER, "1", "Prompt tokens found cached, by pool."),
    Instrument(
        "reread_tokens", COUNTER, "1", "Prompt tokens read though kept elsewhere."
    ),
    Instrument("slot_refusals", COUNTER, "1", "Requests refused without a slot."),
    Instrument("output_tokens", COUNTER, "1", "Tokens generated, by pool."),
    Instrument("refusals", COUNTER, "1", "Calls refused, by code."),
    Instrument("forwarded", COUNTER, "1", "Calls passed to another host."),
    Instrument("relayed", COUNTER, "1", "Other hosts' requests that were relayed."),
    Instrument("upstream_failures", COUNTER, "1", "Failed attempts, by upstream."),
    Instrument("answers", COUNTER, "1", "Upstreams' answers, by framing and ending."),
    Instrument("commit_duration", HISTOGRAM, "s", "Time to make records durable."),
)


class Metrics:
    """The instruments of `INSTRUMENTS`.

    Parameters
    ----------
    meter : opentelemetry.metrics.Meter, optional
        Meter that creates the instruments.
    """

    def __init__(self, meter=None):
        meter = meter or metrics.get_meter("sapphireyard")
        self._instruments = {}
        for instrument in INSTRUMENTS:
            create = (
                meter.create_counter
                if instrument.kind == COUNTER
                else meter.create_histogram
            )
            self._instruments[instrument.name] = create(
                f"sapphireyard_{instrument.name}",
                unit=instrument.unit,
                description=instrument.description,
            )

    def count(self, name, amount=1, **attributes):
        """Add to a counter."""
        self._instruments[name].add(amount, attributes)

    def record(self, name, value, **attributes):
        """Record a value in a histogram."""
        self._instruments[name].record(value, attributes)


def configure_metrics():
    """Export all instruments of this process to Prometheus.

    Instruments that exist already record from this call on. The libraries are
    imported here because their import takes a seventh of a process's start time.
    """
    from opentelemetry.exporter.prometheus import PrometheusMetricReader
    from opentelemetry.sdk.metrics import MeterProvider

    reader = PrometheusMetricReader()
    metrics.set_meter_provider(MeterProvider(metric_readers=[reader]))


def observe_store(store):
    """Export the number of calls to an `ObjectStore`, by kind."""

    def observe(options):
        return [
            metrics.Observation(count, {"kind": kind})
            for kind, count in store.calls.items()
        ]

    metrics.get_meter("sapphireyard").create_observable_counter(
        "sapphireyard_store_calls",
        [observe],
        description="Calls to the object store, by kind.",
    )


def build_metrics_page():
    """Return the response of a Prometheus scrape."""
    import prometheus_client
    from prometheus_client.exposition import CONTENT_TYPE_LATEST

    return web.Response(
        body=prometheus_client.generate_latest(),
        headers={"Content-Type": CONTENT_TYPE_LATEST},
    )
