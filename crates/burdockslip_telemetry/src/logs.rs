//! Writes one line of key=value pairs for each event.

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
use crate::redact::{WITHHELD, is_secret_field, without_keys};

/// Sends the events of this process that pass `filter` to standard output.
///
/// The volume is bounded and a reader that does not keep up is not waited for;
/// a line counts what was left out.
///
/// # Errors
///
/// Returns `InvalidInput` if the filter is malformed, and `Internal` if logs
/// were installed before.
pub fn install_logs(filter: &str) -> Result<()> {
    // Log lines go to files, where colours would be noise.
    Report::set_color_mode(ColorMode::None);
    let subscriber = subscriber(filter, BoundedStdout::default)?;
    tracing::subscriber::set_global_default(subscriber)
        .map_err(|error| Report::new(error).change_context(ErrorKind::Internal))
}

/// Builds the subscriber that [`install_logs`] installs, with another writer.
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
        .event_format(Pairs)
        .with_writer(writer)
        .finish())
}

/// Formats an event as `time=… level=… target=… message=… field=…`.
struct Pairs;

impl<S, N> FormatEvent<S, N> for Pairs
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
        let mut pairs = Collector::default();
        event.record(&mut pairs);
        writer.write_str("time=")?;
        SystemTime.format_time(&mut writer)?;
        let metadata = event.metadata();
        write!(
            writer,
            " level={}",
            metadata.level().as_str().to_lowercase()
        )?;
        write!(writer, " target={}", quoted(metadata.target()))?;
        write!(writer, " message={}", quoted(&pairs.message))?;
        writeln!(writer, "{}", pairs.rest)
    }
}

/// Collects the message of an event and the text of its other fields.
#[derive(Default)]
struct Collector {
    message: String,
    rest: String,
}

impl Collector {
    fn add(&mut self, field: &Field, value: &str) {
        if field.name() == "message" {
            value.clone_into(&mut self.message);
            return;
        }
        let name = field.name().trim_start_matches("r#");
        self.rest.push(' ');
        self.rest.push_str(name);
        self.rest.push('=');
        if is_secret_field(name) {
            self.rest.push_str(WITHHELD);
        } else {
            self.rest.push_str(&quoted(value));
        }
    }
}

impl Visit for Collector {
    fn record_str(&mut self, field: &Field, value: &str) {
        self.add(field, value);
    }

    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        self.add(field, &format!("{value:?}"));
    }
}

/// Removes keys and quotes what would break a line into other pairs.
fn quoted(text: &str) -> String {
    let text = without_keys(text);
    let is_plain = |c: char| c.is_ascii_graphic() && !matches!(c, '"' | '=' | '\\');
    if !text.is_empty() && text.chars().all(is_plain) {
        text
    } else {
        format!("\"{}\"", text.escape_debug())
    }
}
