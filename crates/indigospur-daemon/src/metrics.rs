//! Counters and gauges, read over HTTP in the usual text format.

use indigospur_protocol::{Kind, Load, RetryReason};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use std::time::Duration;

/// What the daemon counts.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    calls: Counter<u64>,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    preemptions: Counter<u64>,
    seconds: Histogram<f64>,
    in_flight: Gauge<u64>,
    queued: Gauge<u64>,
    limit: Gauge<u64>,
    version: Gauge<u64>,
    members: Gauge<u64>,
    keys: Gauge<u64>,
    log_age: Gauge<f64>,
    skipped: Gauge<u64>,
    skips: Counter<u64>,
    bad_announcements: Counter<u64>,
    control_bytes: Counter<u64>,
    parent_hints: Counter<u64>,
    source_failures: Counter<u64>,
    bad_settings: Counter<u64>,
}

impl Metrics {
    pub(crate) fn new() -> Metrics {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build();
        let builder = SdkMeterProvider::builder();
        let provider = match exporter {
            Ok(exporter) => builder.with_reader(exporter).build(),
            Err(error) => {
                log::error!(error:display; "metrics can't be exported");
                builder.build()
            }
        };
        let meter = provider.meter("indigospur");
        Metrics {
            calls: meter.u64_counter("indigospur_calls").build(),
            refusals: meter.u64_counter("indigospur_refusals").build(),
            retries: meter.u64_counter("indigospur_retries").build(),
            preemptions: meter.u64_counter("indigospur_preemptions").build(),
            seconds: meter.f64_histogram("indigospur_call_seconds").build(),
            in_flight: meter.u64_gauge("indigospur_in_flight").build(),
            queued: meter.u64_gauge("indigospur_queued").build(),
            limit: meter.u64_gauge("indigospur_limit").build(),
            version: meter.u64_gauge("indigospur_rules_version").build(),
            members: meter.u64_gauge("indigospur_members").build(),
            keys: meter.u64_gauge("indigospur_keys").build(),
            log_age: meter.f64_gauge("indigospur_log_age_seconds").build(),
            bad_announcements: meter
                .u64_counter("indigospur_announcements_skipped")
                .build(),
            skips: meter.u64_counter("indigospur_published_skipped").build(),
            skipped: meter.u64_gauge("indigospur_records_skipped").build(),
            control_bytes: meter.u64_counter("indigospur_control_bytes").build(),
            parent_hints: meter.u64_counter("indigospur_parent_hints").build(),
            bad_settings: meter.u64_counter("indigospur_settings_skipped").build(),
            source_failures: meter.u64_counter("indigospur_source_failures").build(),
            registry,
            _provider: provider,
        }
    }

    pub(crate) fn answered(&self, took: Duration) {
        self.calls.add(1, &[KeyValue::new("outcome", "answered")]);
        self.seconds.record(took.as_secs_f64(), &[]);
    }

    pub(crate) fn refused(&self, kind: Kind) {
        self.calls.add(1, &[KeyValue::new("outcome", "refused")]);
        self.refusals.add(1, &[KeyValue::new("kind", kind.name())]);
    }

    pub(crate) fn retry(&self, reason: RetryReason, made: bool) {
        let labels = [
            KeyValue::new("reason", reason.name()),
            KeyValue::new("made", made),
        ];
        self.retries.add(1, &labels);
    }

    pub(crate) fn preempted(&self) {
        self.preemptions.add(1, &[]);
    }

    pub(crate) fn load(&self, load: Load) {
        self.in_flight.record(u64::from(load.in_flight), &[]);
        self.queued.record(u64::from(load.queued), &[]);
        self.limit.record(u64::from(load.limit), &[]);
    }

    pub(crate) fn control(
        &self,
        members: usize,
        version: Option<u64>,
        skipped: u64,
        log_age: Duration,
    ) {
        self.members.record(members as u64, &[]);
        self.version.record(version.unwrap_or_default(), &[]);
        self.skipped.record(skipped, &[]);
        self.log_age.record(log_age.as_secs_f64(), &[]);
    }

    pub(crate) fn keys(&self, count: usize) {
        self.keys.record(count as u64, &[]);
    }

    pub(crate) fn control_bytes(&self, count: usize) {
        self.control_bytes.add(count as u64, &[]);
    }

    /// Counts a request whose identifier was compared with those of running calls.
    pub(crate) fn parent_hint(&self, found: bool) {
        self.parent_hints.add(1, &[KeyValue::new("found", found)]);
    }

    /// Counts a read of the configuration's source that failed.
    pub(crate) fn source_failure(&self) {
        self.source_failures.add(1, &[]);
    }

    /// Counts changed settings that were left aside.
    pub(crate) fn skip_settings(&self) {
        self.bad_settings.add(1, &[]);
    }

    /// Counts a published configuration that was skipped.
    pub(crate) fn skip(&self) {
        self.skips.add(1, &[]);
    }

    /// Counts an announcement of a backend server that was skipped.
    pub(crate) fn skip_announcement(&self) {
        self.bad_announcements.add(1, &[]);
    }

    /// The text that a scraper reads.
    pub(crate) fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::error!(error:display; "metrics can't be rendered");
        }
        text
    }
}
