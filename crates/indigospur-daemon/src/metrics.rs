//! The metrics of the daemon, exported in the Prometheus text format.

use indigospur_protocol::{Kind, Load, RetryReason};
use indigospur_routing::Distance;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use std::time::Duration;

/// Counters, gauges and histograms of one daemon.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    calls: Counter<u64>,
    refusals: Counter<u64>,
    quota_requests: Counter<u64>,
    retries: Counter<u64>,
    preemptions: Counter<u64>,
    backend_refusals: Counter<u64>,
    skipped_responses: Counter<u64>,
    placements: Counter<u64>,
    leaving_share: Gauge<f64>,
    call_seconds: Histogram<f64>,
    in_flight: Gauge<u64>,
    queued: Gauge<u64>,
    limit: Gauge<u64>,
    rules_version: Gauge<u64>,
    members: Gauge<u64>,
    keys: Gauge<u64>,
    log_age: Gauge<f64>,
    skipped_records: Gauge<u64>,
    skipped_configurations: Counter<u64>,
    skipped_announcements: Counter<u64>,
    control_bytes: Counter<u64>,
    parent_hints: Counter<u64>,
    source_failures: Counter<u64>,
    rejected_settings: Counter<u64>,
    refused_share: Gauge<f64>,
    retry_cutoff: Gauge<f64>,
}

/// Value of the gauge of the cutoff while all requests get retries; above that of every class.
const NO_CUTOFF: f64 = 256.0;

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
                log::error!(error:display; "the metrics exporter can't be created; no metrics will be reported");
                builder.build()
            }
        };
        let meter = provider.meter("indigospur");
        Metrics {
            calls: meter.u64_counter("indigospur_calls").build(),
            refusals: meter.u64_counter("indigospur_refusals").build(),
            quota_requests: meter.u64_counter("indigospur_quota_requests").build(),
            retries: meter.u64_counter("indigospur_retries").build(),
            preemptions: meter.u64_counter("indigospur_preemptions").build(),
            backend_refusals: meter.u64_counter("indigospur_backend_refusals").build(),
            skipped_responses: meter
                .u64_counter("indigospur_backend_responses_skipped")
                .build(),
            placements: meter.u64_counter("indigospur_placements").build(),
            leaving_share: meter.f64_gauge("indigospur_leaving_share").build(),
            call_seconds: meter.f64_histogram("indigospur_call_seconds").build(),
            in_flight: meter.u64_gauge("indigospur_in_flight").build(),
            queued: meter.u64_gauge("indigospur_queued").build(),
            limit: meter.u64_gauge("indigospur_limit").build(),
            rules_version: meter.u64_gauge("indigospur_rules_version").build(),
            members: meter.u64_gauge("indigospur_members").build(),
            keys: meter.u64_gauge("indigospur_keys").build(),
            log_age: meter.f64_gauge("indigospur_log_age_seconds").build(),
            skipped_announcements: meter
                .u64_counter("indigospur_announcements_skipped")
                .build(),
            skipped_configurations: meter.u64_counter("indigospur_published_skipped").build(),
            skipped_records: meter.u64_gauge("indigospur_records_skipped").build(),
            control_bytes: meter.u64_counter("indigospur_control_bytes").build(),
            parent_hints: meter.u64_counter("indigospur_parent_hints").build(),
            rejected_settings: meter.u64_counter("indigospur_settings_skipped").build(),
            source_failures: meter.u64_counter("indigospur_source_failures").build(),
            refused_share: meter.f64_gauge("indigospur_refused_share").build(),
            retry_cutoff: meter.f64_gauge("indigospur_retry_cutoff").build(),
            registry,
            _provider: provider,
        }
    }

    pub(crate) fn record_answer(&self, duration: Duration) {
        self.calls.add(1, &[KeyValue::new("outcome", "answered")]);
        self.call_seconds.record(duration.as_secs_f64(), &[]);
    }

    pub(crate) fn count_refusal(&self, kind: Kind) {
        self.calls.add(1, &[KeyValue::new("outcome", "refused")]);
        self.refusals.add(1, &[KeyValue::new("kind", kind.name())]);
    }

    /// Counts a request of a workspace with a quota; `workspace` is its label.
    pub(crate) fn count_quota(&self, workspace: &str, is_admitted: bool) {
        let outcome = if is_admitted { "admitted" } else { "refused" };
        let labels = [
            KeyValue::new("workspace", workspace.to_owned()),
            KeyValue::new("outcome", outcome),
        ];
        self.quota_requests.add(1, &labels);
    }

    pub(crate) fn count_retry(&self, reason: RetryReason, made: bool) {
        let labels = [
            KeyValue::new("reason", reason.name()),
            KeyValue::new("made", made),
        ];
        self.retries.add(1, &labels);
    }

    /// Records the share of calls that a service refuses, and the cutoff of the retries at it: its class
    /// plus the part of the class that gets retries.
    pub(crate) fn record_shedding(&self, service: &str, refused: f64, cutoff: Option<f64>) {
        let labels = [KeyValue::new("service", service.to_owned())];
        self.refused_share.record(refused, &labels);
        self.retry_cutoff
            .record(cutoff.unwrap_or(NO_CUTOFF), &labels);
    }

    pub(crate) fn count_preemption(&self) {
        self.preemptions.add(1, &[]);
    }

    /// Counts a refusal of the backend server: whether it names its call, and whether its connection was
    /// used before.
    pub(crate) fn count_backend_refusal(&self, names_call: bool, is_kept: bool) {
        let labels = [
            KeyValue::new("names_call", names_call),
            KeyValue::new("connection", if is_kept { "kept" } else { "new" }),
        ];
        self.backend_refusals.add(1, &labels);
    }

    /// Counts late responses of the backend server to earlier calls.
    pub(crate) fn count_skipped_responses(&self, count: u32) {
        if count > 0 {
            self.skipped_responses.add(u64::from(count), &[]);
        }
    }

    /// Counts a call that is sent to an upstream.
    pub(crate) fn count_placement(&self, distance: Distance) {
        let labels = [KeyValue::new("distance", distance.name())];
        self.placements.add(1, &labels);
    }

    pub(crate) fn record_leaving_share(&self, service: &str, share: f64) {
        let labels = [KeyValue::new("service", service.to_owned())];
        self.leaving_share.record(share, &labels);
    }

    pub(crate) fn record_load(&self, load: Load) {
        self.in_flight.record(u64::from(load.in_flight), &[]);
        self.queued.record(u64::from(load.queued), &[]);
        self.limit.record(u64::from(load.limit), &[]);
    }

    pub(crate) fn record_control_state(
        &self,
        members: usize,
        version: Option<u64>,
        skipped: u64,
        log_age: Duration,
    ) {
        self.members.record(members as u64, &[]);
        self.rules_version.record(version.unwrap_or_default(), &[]);
        self.skipped_records.record(skipped, &[]);
        self.log_age.record(log_age.as_secs_f64(), &[]);
    }

    pub(crate) fn record_keys(&self, count: usize) {
        self.keys.record(count as u64, &[]);
    }

    pub(crate) fn count_control_bytes(&self, count: usize) {
        self.control_bytes.add(count as u64, &[]);
    }

    /// Counts a request whose identifier was looked up among the running calls to find its parent.
    pub(crate) fn count_parent_hint(&self, found: bool) {
        self.parent_hints.add(1, &[KeyValue::new("found", found)]);
    }

    /// Counts a failed read of the configuration source.
    pub(crate) fn count_source_failure(&self) {
        self.source_failures.add(1, &[]);
    }

    /// Counts a changed settings file that could not be used.
    pub(crate) fn count_rejected_settings(&self) {
        self.rejected_settings.add(1, &[]);
    }

    /// Counts a published configuration that could not be decoded.
    pub(crate) fn count_skipped_configuration(&self) {
        self.skipped_configurations.add(1, &[]);
    }

    /// Counts an announcement of the backend server that could not be used.
    pub(crate) fn count_skipped_announcement(&self) {
        self.skipped_announcements.add(1, &[]);
    }

    /// Encodes all metrics as text.
    pub(crate) fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::error!(error:display; "metrics can't be encoded; this scrape is incomplete");
        }
        text
    }
}
