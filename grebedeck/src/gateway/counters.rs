//! Counters and histograms of a gateway.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use grebedeck_admission::Urgency;
use grebedeck_kernel::{Counter, Histogram, Metrics};

/// Label values of the urgencies; the last one covers all higher ones.
const URGENCY_LABELS: [&str; 4] = ["0", "1", "2", "3_and_more"];

/// Label value of an urgency.
pub fn urgency_label(urgency: u8) -> &'static str {
    URGENCY_LABELS[urgency_class(urgency)]
}

fn urgency_class(urgency: u8) -> usize {
    usize::from(urgency).min(URGENCY_LABELS.len() - 1)
}

/// Number of requests that wait for a slot, by the urgency of their routes.
#[derive(Clone, Default)]
pub struct WaitingCounts {
    counts: Arc<[AtomicUsize; URGENCY_LABELS.len()]>,
}

impl WaitingCounts {
    /// Counts a request that starts to wait.
    pub fn increment(&self, urgency: Urgency) {
        self.counts[urgency_class(urgency.1)].fetch_add(1, Ordering::Relaxed);
    }

    /// Uncounts a request that no longer waits.
    pub fn decrement(&self, urgency: Urgency) {
        self.counts[urgency_class(urgency.1)].fetch_sub(1, Ordering::Relaxed);
    }

    fn read(&self) -> Vec<(&'static str, f64)> {
        let counts = self.counts.iter().map(|count| count.load(Ordering::Relaxed) as f64);

        URGENCY_LABELS.into_iter().zip(counts).collect()
    }
}

/// Counters and histograms of a gateway.
pub struct Counters {
    /// Requests by their outcome for the caller.
    pub requests: Counter,
    /// Attempts by their outcome.
    pub attempts: Counter,
    /// Refused requests, by reason.
    pub refusals: Counter,
    /// Requests that got a slot, by urgency.
    pub admitted: Counter,
    /// Requests that wait for a slot, by urgency.
    pub waiting: WaitingCounts,
    /// Streams that were resumed on another target, by outcome.
    pub resumes: Counter,
    /// Responses and bodies abandoned because nobody reads them, by kind.
    pub unread: Counter,
    /// Retries by whether the budget allowed them, or the reason why not.
    pub retries: Counter,
    /// What the retry budget of each service has counted, by kind.
    pub retry_budgets: Counter,
    /// Time from the authorization of a retry until it was sent, or given up, by outcome.
    pub retry_delays: Histogram,
    /// Calls to the store by outcome.
    pub store_calls: Counter,
    /// Calls for the contents of the store, by where they were sent.
    pub sources: Counter,
    /// Responses of other gateways while the store was unavailable, by outcome.
    pub peer_responses: Counter,
    /// Halls that were evacuated or reopened.
    pub hall_events: Counter,
    /// Starts of targets and faults in their entries, by kind.
    pub starts: Counter,
    /// Requests sent to cold targets, and selections that skipped some, by kind.
    pub cold: Counter,
    /// Refusals, requested delays and announced shutdowns of targets, by effect.
    pub refusing: Counter,
    /// Rate limits announced by targets, and requests to such targets, by kind.
    pub limits: Counter,
    /// Crashes of targets, and the requests that were running, by what was done with them.
    pub quarantine: Counter,
    /// Suppressed log lines, by kind.
    pub suppressed_lines: Counter,
    /// Time until a response was complete, by kind of route.
    pub response_times: Histogram,
    /// Time until a stream's first event.
    pub first_event_times: Histogram,
    /// Pauses between the events of streams.
    pub pauses: Histogram,
    /// Time that requests waited for a slot, by outcome.
    pub waits: Histogram,
}

impl Counters {
    /// Registers the counters and histograms of a gateway.
    pub fn new(metrics: &Metrics) -> Self {
        let counter = |name, label, help| metrics.counter(name, label, help);
        let histogram = |name, label, help| metrics.histogram(name, label, help);

        let waiting = WaitingCounts::default();
        let gauge = waiting.clone();
        metrics.labelled_gauge(
            "grebedeck_gateway_waiting",
            "urgency",
            "Requests that wait for a place, by urgency",
            move || gauge.read(),
        );

        Counters {
            waiting,
            admitted: counter(
                "grebedeck_gateway_admitted",
                "urgency",
                "Requests that got a place, by urgency",
            ),
            requests: counter(
                "grebedeck_gateway_requests",
                "end",
                "Requests by what their callers got",
            ),
            attempts: counter("grebedeck_gateway_attempts", "end", "Attempts by how they ended"),
            refusals: counter(
                "grebedeck_gateway_refusals",
                "reason",
                "Requests that were turned away, by reason",
            ),
            resumes: counter(
                "grebedeck_gateway_resumes",
                "end",
                "Streams that another target went on with",
            ),
            unread: counter(
                "grebedeck_gateway_unread",
                "what",
                "Answers and bodies that were given up as nobody reads them",
            ),
            retries: counter(
                "grebedeck_gateway_repeats",
                "end",
                "Repeats by whether the budget allowed them",
            ),
            retry_budgets: counter(
                "grebedeck_gateway_retry_budget",
                "kind",
                "What the retry budget of each service has counted",
            ),
            retry_delays: histogram(
                "grebedeck_gateway_retry_delay_seconds",
                "end",
                "Time from the authorization of a retry until it was sent or given up",
            ),
            store_calls: counter(
                "grebedeck_gateway_store_calls",
                "end",
                "Calls to the platform's store",
            ),
            sources: counter(
                "grebedeck_gateway_sources",
                "source",
                "Calls for what the store holds, by whom they went to",
            ),
            peer_responses: counter(
                "grebedeck_gateway_peer_answers",
                "end",
                "Answers of other gateways while the store was away",
            ),
            hall_events: counter(
                "grebedeck_gateway_hall_news",
                "word",
                "Halls that were evacuated or taken back",
            ),
            starts: counter(
                "grebedeck_gateway_starts",
                "kind",
                "What was noticed of targets' starts and entries",
            ),
            cold: counter(
                "grebedeck_gateway_cold",
                "kind",
                "Requests sent to cold targets, and looks for a place that passed over some",
            ),
            refusing: counter(
                "grebedeck_gateway_refusing",
                "kind",
                "What targets' refusals and their words on rest and leaving led to",
            ),
            limits: counter(
                "grebedeck_gateway_limits",
                "kind",
                "Limits that targets name, and requests to targets that have one",
            ),
            quarantine: counter(
                "grebedeck_gateway_quarantine",
                "kind",
                "Crashes of targets, and what became of the requests that ran under them",
            ),
            suppressed_lines: counter(
                "grebedeck_gateway_stories_left_out",
                "kind",
                "Requests whose decisions were not logged, as too many were",
            ),
            response_times: histogram(
                "grebedeck_gateway_answer_seconds",
                "kind",
                "Time until an answer was whole",
            ),
            first_event_times: histogram(
                "grebedeck_gateway_first_event_seconds",
                "kind",
                "Time until a stream's first event",
            ),
            pauses: histogram(
                "grebedeck_gateway_pause_seconds",
                "kind",
                "Pauses between events of streams",
            ),
            waits: histogram(
                "grebedeck_gateway_wait_seconds",
                "end",
                "Time that requests waited for a place",
            ),
        }
    }
}
