//! Finds the line and column of a field in a YAML text.
//!
//! The text is deserialized again along the path to the field, where deserialization fails on
//! purpose: the location of that error is the location of the field.

use {
    serde::de::{
        DeserializeSeed, Deserializer, EnumAccess, Error, IgnoredAny, MapAccess, SeqAccess, Visitor,
    },
    std::fmt,
};

/// An element of the path to a field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PathStep {
    /// A field of a mapping.
    Field(&'static str),
    /// An element of a sequence, by index.
    Element(usize),
}

/// Formats a path for operators, such as `classes[0].name`.
pub fn path_text(path: &[PathStep]) -> String {
    let mut text = String::new();
    for step in path {
        match step {
            PathStep::Field(name) if text.is_empty() => text.push_str(name),
            PathStep::Field(name) => {
                text.push('.');
                text.push_str(name);
            }
            PathStep::Element(index) => {
                text.push('[');
                text.push_str(&index.to_string());
                text.push(']');
            }
        }
    }
    text
}

/// The line and column, counted from 1, of the field at `path`. If that field is missing, returns
/// the location of its nearest parent that exists.
pub fn locate(text: &str, path: &[PathStep]) -> (usize, usize) {
    let locate_exactly = |path: &[PathStep]| {
        let deserializer = serde_norway::Deserializer::from_str(text);
        let found = FieldLocator { path }.deserialize(deserializer);
        found.err().and_then(|error| error.location())
    };
    let found = (0..=path.len())
        .rev()
        .find_map(|length| locate_exactly(&path[..length]));
    found.map_or((1, 1), |location| (location.line(), location.column()))
}

struct FieldLocator<'a> {
    path: &'a [PathStep],
}

impl<'de> DeserializeSeed<'de> for FieldLocator<'_> {
    type Value = ();

    fn deserialize<D>(self, deserializer: D) -> Result<(), D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_any(self)
    }
}

impl FieldLocator<'_> {
    fn fail_at_target<E>(self) -> Result<(), E>
    where
        E: Error,
    {
        if self.path.is_empty() {
            return Err(E::custom("target field"));
        }
        Ok(())
    }
}

impl<'de> Visitor<'de> for FieldLocator<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("any value")
    }

    fn visit_bool<E: Error>(self, _: bool) -> Result<(), E> {
        self.fail_at_target()
    }

    fn visit_i64<E: Error>(self, _: i64) -> Result<(), E> {
        self.fail_at_target()
    }

    fn visit_u64<E: Error>(self, _: u64) -> Result<(), E> {
        self.fail_at_target()
    }

    fn visit_f64<E: Error>(self, _: f64) -> Result<(), E> {
        self.fail_at_target()
    }

    fn visit_str<E: Error>(self, _: &str) -> Result<(), E> {
        self.fail_at_target()
    }

    fn visit_unit<E: Error>(self) -> Result<(), E> {
        self.fail_at_target()
    }

    fn visit_seq<A>(self, mut elements: A) -> Result<(), A::Error>
    where
        A: SeqAccess<'de>,
    {
        let Some((PathStep::Element(target), rest)) = self.path.split_first() else {
            return self.fail_at_target();
        };
        for _ in 0..*target {
            elements.next_element::<IgnoredAny>()?;
        }
        elements.next_element_seed(FieldLocator { path: rest })?;
        while elements.next_element::<IgnoredAny>()?.is_some() {}
        Ok(())
    }

    fn visit_map<A>(self, mut fields: A) -> Result<(), A::Error>
    where
        A: MapAccess<'de>,
    {
        let Some((PathStep::Field(target), rest)) = self.path.split_first() else {
            return self.fail_at_target();
        };
        while let Some(field) = fields.next_key::<String>()? {
            if field == *target {
                fields.next_value_seed(FieldLocator { path: rest })?;
            } else {
                fields.next_value::<IgnoredAny>()?;
            }
        }
        Ok(())
    }

    fn visit_enum<A>(self, _: A) -> Result<(), A::Error>
    where
        A: EnumAccess<'de>,
    {
        Err(A::Error::custom("target field"))
    }
}
