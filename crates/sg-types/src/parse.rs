//! The error of every text form in this crate, and helpers that split a number from its unit.

/// Why a text is not a value of the wanted type. Each message names the remedy.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text holds no number where one is wanted.
    #[error("'{text}' is not a number followed by a unit; write it like {example}")]
    Number {
        /// What was given.
        text: String,
        /// A text that would be accepted.
        example: &'static str,
    },
    /// The unit is not known for this type.
    #[error("'{unit}' is not a known unit; write it like {example}")]
    Unit {
        /// The unit that was given.
        unit: String,
        /// A text that would be accepted.
        example: &'static str,
    },
    /// The value lies outside its range.
    #[error("'{text}' is out of range; use a value from {least} to {most}")]
    Range {
        /// What was given.
        text: String,
        /// The least value, in text form.
        least: &'static str,
        /// The greatest value, in text form.
        most: &'static str,
    },
    /// A name is empty, too long or has characters outside its alphabet.
    #[error(
        "'{text}' is not a name; use 1 to 64 characters of a-z, A-Z, 0-9, '-', '_' and '.', \
         starting with a letter or digit"
    )]
    Name {
        /// What was given, shortened.
        text: String,
    },
}

/// Splits `text` into its leading decimal number and the unit after it.
pub(crate) fn number<'a>(text: &'a str, example: &'static str) -> Result<(f64, &'a str), Error> {
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
