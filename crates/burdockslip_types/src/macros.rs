//! The macro that adds the common derives to domain types.

/// Adds the derives that every domain type has to the enclosed items.
///
/// The order of fields and variants is part of the binary format of messages,
/// store records and session tokens. A crate that uses the macro needs its own
/// dependency on `serde`.
#[macro_export]
macro_rules! domain {
    ($($item:item)*) => {
        $(
            #[derive(
                Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash,
                serde::Serialize, serde::Deserialize,
            )]
            $item
        )*
    };
}
