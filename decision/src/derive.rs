//! Macros that declare the plain types of the project with their shared derives.

/// Declares value types: comparable, cloneable, printable and serialisable.
///
/// Types that are sent between processes or stored in log records are declared here, so that their
/// derives and their tolerance for unknown fields are defined in one place. Enums use serde's
/// default external tagging, which lets two releases read each other's variants by name.
///
/// ```
/// coltsfoothook_decision::value! {
///     /// A point in the plane.
///     pub struct PlanPoint { pub x: u32, pub y: u32 }
/// }
/// assert_eq!(PlanPoint { x: 1, y: 2 }, PlanPoint { x: 1, y: 2 });
/// ```
#[macro_export]
macro_rules! value {
    ($($(#[$meta:meta])* $vis:vis $kind:ident $name:ident $body:tt)*) => {$(
        #[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
        #[serde(rename_all = "snake_case")]
        $(#[$meta])*
        $vis $kind $name $body
    )*};
}

/// Declares numeric identifiers: copyable, ordered, hashable and serialised as the bare number.
#[macro_export]
macro_rules! key {
    ($($(#[$meta:meta])* $vis:vis struct $name:ident($inner:ty);)*) => {$(
        $(#[$meta])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
            serde::Serialize, serde::Deserialize,
        )]
        #[serde(transparent)]
        $vis struct $name(pub $inner);

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                self.0.fmt(f)
            }
        }
    )*};
}

/// Declares string identifiers: serialised as plain strings, and passed as `&str` in signatures.
#[macro_export]
macro_rules! name {
    ($($(#[$meta:meta])* $vis:vis struct $name:ident;)*) => {$(
        $(#[$meta])*
        #[derive(
            Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
            serde::Serialize, serde::Deserialize,
        )]
        #[serde(transparent)]
        $vis struct $name(pub String);

        impl $name {
            /// Returns the text, for example for look-ups in sorted vectors.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.to_owned())
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(text)
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(&self.0)
            }
        }
    )*};
}
