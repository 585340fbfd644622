//! Parsing of text forms: the error type and helpers shared by the types of this crate.

/// The error for a text that is not a value of the expected type. Each message says how to write
/// the value.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text does not start with a number.
    #[error("'{text}' is not a number followed by a unit; write it like {example}")]
    Number {
        /// The input.
        text: String,
        /// An example of a valid value.
        example: &'static str,
    },
    /// The unit is not valid for the type.
    #[error("'{unit}' is not a known unit; write it like {example}")]
    Unit {
        /// The unit from the input.
        unit: String,
        /// An example of a valid value.
        example: &'static str,
    },
    /// The value is out of range.
    #[error("'{text}' is out of range; use a value from {min} to {max}")]
    Range {
        /// The input.
        text: String,
        /// The minimum, in text form.
        min: &'static str,
        /// The maximum, in text form.
        max: &'static str,
    },
    /// The name is empty, too long or contains characters that are not allowed.
    #[error(
        "'{text}' is not a name; use 1 to 64 characters of a-z, A-Z, 0-9, '-', '_' and '.', \
         starting with a letter or digit"
    )]
    Name {
        /// The input, truncated.
        text: String,
    },
}

/// Splits `text` into the leading decimal number and the unit that follows.
pub(crate) fn split_number<'a>(
    text: &'a str,
    example: &'static str,
) -> Result<(f64, &'a str), Error> {
    let text = text.trim();
    let end = text
        .find(|c: char| !c.is_ascii_digit() && c != '.')
        .unwrap_or(text.len());
    let (digits, unit) = text.split_at(end);
    let value = digits
        .parse::<f64>()
        .ok()
        .filter(|value| value.is_finite())
        .ok_or_else(|| Error::Number {
            text: text.chars().take(64).collect(),
            example,
        })?;
    Ok((value, unit.trim()))
}

/// Implements `Serialize` and `Deserialize` through `Display` and `FromStr`.
macro_rules! text_serde {
    ($name:ty) => {
        impl serde::Serialize for $name {
            fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.collect_str(self)
            }
        }

        impl<'de> serde::Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let text = <std::borrow::Cow<'de, str>>::deserialize(deserializer)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    };
}
pub(crate) use text_serde;
