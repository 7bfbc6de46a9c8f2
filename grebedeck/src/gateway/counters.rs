//! What a gateway counts.

use grebedeck_kernel::{Counter, Histogram, Metrics};

/// Counters and histograms of a gateway.
pub struct Counters {
    /// Requests by what their callers got.
    pub requests: Counter,
    /// Attempts by how they ended.
    pub attempts: Counter,
    /// Requests that were turned away, by reason.
    pub refusals: Counter,
    /// Streams that another target went on with, by how that ended.
    pub resumes: Counter,
    /// Answers and bodies that nobody reads, by what became of them.
    pub unread: Counter,
    /// Repeats by whether the budget allowed them.
    pub repeats: Counter,
    /// Calls to the store by what they were for and how they ended.
    pub store_calls: Counter,
    /// What other gateways answered while the store was away.
    pub peer_answers: Counter,
    /// News on evacuated halls, by what they say.
    pub hall_news: Counter,
    /// What was noticed of targets' starts and entries.
    pub starts: Counter,
    /// Looks for a place that met targets that are cold, by what became of those.
    pub cold: Counter,
    /// Log lines that were left out, by kind.
    pub left_out: Counter,
    /// Time until an answer was whole, by the route's kind.
    pub answer_times: Histogram,
    /// Time until a stream's first event.
    pub first_event_times: Histogram,
    /// Pauses between events of streams.
    pub pauses: Histogram,
    /// Time that requests waited for a place.
    pub waits: Histogram,
}

impl Counters {
    /// Makes the counters of a process.
    pub fn new(metrics: &Metrics) -> Self {
        let counter = |name, label, help| metrics.counter(name, label, help);
        let histogram = |name, label, help| metrics.histogram(name, label, help);

        Counters {
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
            repeats: counter(
                "grebedeck_gateway_repeats",
                "end",
                "Repeats by whether the budget allowed them",
            ),
            store_calls: counter(
                "grebedeck_gateway_store_calls",
                "end",
                "Calls to the platform's store",
            ),
            peer_answers: counter(
                "grebedeck_gateway_peer_answers",
                "end",
                "Answers of other gateways while the store was away",
            ),
            hall_news: counter(
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
            left_out: counter(
                "grebedeck_gateway_stories_left_out",
                "kind",
                "Requests whose decisions were not logged, as too many were",
            ),
            answer_times: histogram(
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
