//! Macros that declare value types with a fixed set of derives, so that a new
//! type doesn't lack one of them.

/// Declares plain value types with the derives that all value types have.
macro_rules! value {
    ($($(#[$meta:meta])* $vis:vis struct $name:ident $body:tt $(;)?)+) => {
        $($(#[$meta])*
        #[derive(Debug, Clone, PartialEq, Eq)]
        $vis struct $name $body)+
    };
    ($($(#[$meta:meta])* $vis:vis enum $name:ident $body:tt)+) => {
        $($(#[$meta])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
        $vis enum $name $body)+
    };
}

/// Declares a name type: a shared immutable string of its own type, so that the
/// name of a service can't be passed for the name of a target.
macro_rules! name {
    ($($(#[$meta:meta])* $name:ident),+ $(,)?) => {
        $($(#[$meta])*
        #[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
        #[serde(transparent)]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            /// Creates the name from text that has been checked already.
            pub fn new(text: &str) -> Self {
                Self(text.into())
            }

            /// Returns the text of the name.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.pad(&self.0)
            }
        })+
    };
}

/// Declares a newtype of a small number, for ids, sequence numbers and indexes.
macro_rules! number {
    ($($(#[$meta:meta])* $name:ident: $repr:ty),+ $(,)?) => {
        $($(#[$meta])*
        #[derive(Debug, Default, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub $repr);

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                self.0.fmt(f)
            }
        })+
    };
}
