//! Holds the macro that gives domain types their common derives.

/// Derives the traits that every domain type has.
///
/// Crates that use it depend on `serde` themselves.
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
