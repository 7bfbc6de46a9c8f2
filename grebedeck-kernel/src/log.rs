//! Log lines for changes of state, as JSON on standard error.

use std::sync::Arc;

use spdlog::formatter::JsonFormatter;
use spdlog::sink::{StdStream, StdStreamSink};
use spdlog::{Level, LevelFilter, Logger};

pub use spdlog::{error, info, warn};

/// Sends the log to standard error, one JSON object a line.
pub fn start(level: Level) -> Result<(), spdlog::Error> {
    let sink = StdStreamSink::builder()
        .std_stream(StdStream::Stderr)
        .formatter(JsonFormatter::new())
        .build()?;
    let logger = Logger::builder()
        .sink(Arc::new(sink))
        .level_filter(LevelFilter::MoreSevereEqual(level))
        .build()?;

    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}
