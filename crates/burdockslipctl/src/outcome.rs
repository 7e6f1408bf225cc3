//! Holds what a command reports.

use std::fmt::Display;

use burdockslip_types::ErrorKind;
use error_stack::{AttachmentKind, Frame, FrameKind, Report};
use serde::Serialize;
use serde_json::{Value, json};

use crate::ExitStatus;

/// Holds the result of a command as text and as JSON.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// The exit status.
    pub status: ExitStatus,
    /// The result for people.
    pub text: String,
    /// The result for programs.
    pub json: Value,
}

impl Outcome {
    /// Builds an outcome from a result that has both forms.
    pub fn new<T: Serialize + Display>(status: ExitStatus, result: &T) -> Self {
        Self {
            status,
            text: result.to_string(),
            json: serde_json::to_value(result).expect("results are texts, numbers and lists"),
        }
    }

    /// Builds an outcome that is only a message.
    pub fn message(status: ExitStatus, text: impl Into<String>) -> Self {
        let text = text.into();
        Self {
            json: json!({ "message": text }),
            status,
            text,
        }
    }

    /// Builds the outcome of an error, with the details attached to it.
    ///
    /// The hint of an error kind is for clients; it is shown only if nothing
    /// more specific is attached.
    pub fn of_error(report: &Report<ErrorKind>) -> Self {
        let kind = *report.current_context();
        let details: Vec<_> = report.frames().filter_map(detail).collect();
        let hint = if details.is_empty() {
            kind.details().hint.to_owned()
        } else {
            details.join("; ")
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

fn detail(frame: &Frame) -> Option<String> {
    match frame.kind() {
        FrameKind::Attachment(AttachmentKind::Printable(text)) => Some(text.to_string()),
        _ => None,
    }
}
