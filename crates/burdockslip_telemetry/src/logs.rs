//! Formats each log event as one line of `key=value` pairs.

use std::fmt;

use burdockslip_types::{ErrorKind, Result};
use error_stack::Report;
use error_stack::fmt::ColorMode;
use tracing::field::{Field, Visit};
use tracing::{Event, Subscriber};
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::time::{FormatTime, SystemTime};
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields, MakeWriter};
use tracing_subscriber::registry::LookupSpan;

use crate::bounded::BoundedStdout;
use crate::redact::{WITHHELD, is_secret_field, redact_keys};

/// Installs the global subscriber, which writes the events that pass `filter`
/// to standard output.
///
/// The output is rate-limited and never blocks on a slow reader; a log line
/// reports the number of dropped lines.
///
/// # Errors
///
/// Returns `InvalidInput` if the filter is malformed, and `Internal` if a
/// global subscriber is already installed.
pub fn install_logs(filter: &str) -> Result<()> {
    // Log lines go to files, which should not contain colour codes.
    Report::set_color_mode(ColorMode::None);
    let subscriber = subscriber(filter, BoundedStdout::default)?;
    tracing::subscriber::set_global_default(subscriber)
        .map_err(|error| Report::new(error).change_context(ErrorKind::Internal))
}

/// Creates the subscriber that [`install_logs`] installs, but with the given writer.
///
/// # Errors
///
/// Returns `InvalidInput` if the filter is malformed.
pub fn subscriber<W>(filter: &str, writer: W) -> Result<impl Subscriber + Send + Sync + use<W>>
where
    W: for<'a> MakeWriter<'a> + Send + Sync + 'static,
{
    let filter = EnvFilter::try_new(filter)
        .map_err(|error| Report::new(error).change_context(ErrorKind::InvalidInput))?;
    Ok(tracing_subscriber::fmt()
        .with_env_filter(filter)
        .event_format(KeyValueFormat)
        .with_writer(writer)
        .finish())
}

/// Formats an event as `time=… level=… target=… message=… field=…`.
struct KeyValueFormat;

impl<S, N> FormatEvent<S, N> for KeyValueFormat
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        _: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        let mut fields = FieldCollector::default();
        event.record(&mut fields);
        writer.write_str("time=")?;
        SystemTime.format_time(&mut writer)?;
        let metadata = event.metadata();
        write!(
            writer,
            " level={}",
            metadata.level().as_str().to_lowercase()
        )?;
        write!(writer, " target={}", quoted(metadata.target()))?;
        write!(writer, " message={}", quoted(&fields.message))?;
        writeln!(writer, "{}", fields.pairs)
    }
}

/// Collects the message of an event, and its other fields as formatted pairs.
#[derive(Default)]
struct FieldCollector {
    message: String,
    pairs: String,
}

impl FieldCollector {
    fn add(&mut self, field: &Field, value: &str) {
        if field.name() == "message" {
            value.clone_into(&mut self.message);
            return;
        }
        let name = field.name().trim_start_matches("r#");
        self.pairs.push(' ');
        self.pairs.push_str(name);
        self.pairs.push('=');
        if is_secret_field(name) {
            self.pairs.push_str(WITHHELD);
        } else {
            self.pairs.push_str(&quoted(value));
        }
    }
}

impl Visit for FieldCollector {
    fn record_str(&mut self, field: &Field, value: &str) {
        self.add(field, value);
    }

    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        self.add(field, &format!("{value:?}"));
    }
}

/// Redacts client keys, and quotes text that could be read as other pairs or lines.
fn quoted(text: &str) -> String {
    let text = redact_keys(text);
    let is_plain = |c: char| c.is_ascii_graphic() && !matches!(c, '"' | '=' | '\\');
    if !text.is_empty() && text.chars().all(is_plain) {
        text
    } else {
        format!("\"{}\"", text.escape_debug())
    }
}
