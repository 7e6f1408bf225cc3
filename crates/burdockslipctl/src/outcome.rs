//! The outcome of a command.

use std::fmt::Display;

use burdockslip_types::ErrorKind;
use error_stack::{AttachmentKind, Frame, FrameKind, Report};
use serde::Serialize;
use serde_json::{Value, json};

use crate::ExitStatus;

/// The result of a command as text and as JSON.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// The exit status.
    pub status: ExitStatus,
    /// The output without `--json`.
    pub text: String,
    /// The output with `--json`.
    pub json: Value,
}

impl Outcome {
    /// Builds an outcome whose text is the `Display` form of `result` and whose
    /// JSON is its serialised form.
    pub fn new<T: Serialize + Display>(status: ExitStatus, result: &T) -> Self {
        Self {
            status,
            text: result.to_string(),
            json: serde_json::to_value(result).expect("results are texts, numbers and lists"),
        }
    }

    /// Builds an outcome that consists of a message.
    pub fn message(status: ExitStatus, text: impl Into<String>) -> Self {
        let text = text.into();
        Self {
            json: json!({ "message": text }),
            status,
            text,
        }
    }

    /// Builds the outcome of an error, with the texts attached to the report.
    ///
    /// The hint of an error kind is written for clients, so it is included only
    /// if nothing more specific is attached.
    pub fn from_error(report: &Report<ErrorKind>) -> Self {
        let kind = *report.current_context();
        let attachments: Vec<_> = report.frames().filter_map(attached_text).collect();
        let hint = if attachments.is_empty() {
            kind.details().hint.to_owned()
        } else {
            attachments.join("; ")
        };
        Self {
            status: kind.into(),
            text: format!("{report:#}\n{hint}"),
            json: json!({
                "error": format!("{kind:?}"),
                "message": format!("{report:#}"),
                "hint": hint,
            }),
        }
    }
}

fn attached_text(frame: &Frame) -> Option<String> {
    match frame.kind() {
        FrameKind::Attachment(AttachmentKind::Printable(text)) => Some(text.to_string()),
        _ => None,
    }
}
