//! The sets of derives that the project's plain types share.

/// Declares types that are values: they can be compared, copied by `clone`, printed and sent.
///
/// Everything that crosses a process border or stands in a log record is such a value, so the
/// derives and the tolerance for unknown fields are kept in one place. Enums are tagged by serde's
/// default, which lets two releases read each other's variants by name.
///
/// ```
/// coltsfoothook_decision::value! {
///     /// A point on a plan.
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

/// Declares types that are small keys: copied freely, ordered, hashed and sent.
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

/// Declares names: owned text that is only stored, and borrowed as `&str` in signatures.
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
            /// Borrows the text, for look-ups in sorted vectors.
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
