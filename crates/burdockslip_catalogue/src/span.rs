//! Serializes durations in the notation that operators write, such as `1m 30s`.

use std::time::Duration;

use serde::de::Error;
use serde::{Deserialize, Deserializer, Serializer};

pub(crate) fn serialize<S: Serializer>(span: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(&humantime::format_duration(*span))
}

pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Duration, D::Error> {
    let text = String::deserialize(deserializer)?;
    humantime::parse_duration(&text).map_err(D::Error::custom)
}

/// The same for an optional duration.
pub(crate) mod optional {
    use std::time::Duration;

    use serde::de::Error;
    use serde::{Deserialize, Deserializer, Serializer};

    #[expect(clippy::ref_option, reason = "serde passes fields by reference")]
    pub(crate) fn serialize<S: Serializer>(
        span: &Option<Duration>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        match span {
            Some(span) => super::serialize(span, serializer),
            None => serializer.serialize_none(),
        }
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Option<Duration>, D::Error> {
        let text = Option::<String>::deserialize(deserializer)?;
        text.map(|text| humantime::parse_duration(&text).map_err(D::Error::custom))
            .transpose()
    }
}
