//! Finds the line of a field in a YAML text.
//!
//! The text is read once more along the path to the field, and the reading is given up there:
//! the reader's error then carries the place.

use {
    serde::de::{
        DeserializeSeed, Deserializer, EnumAccess, Error, IgnoredAny, MapAccess, SeqAccess, Visitor,
    },
    std::fmt,
};

/// A step on the path to a field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// The field of a mapping.
    Field(&'static str),
    /// The element of a sequence.
    Element(usize),
}

/// The path as operators read it, such as `classes[0].name`.
pub fn path_text(path: &[Step]) -> String {
    let mut text = String::new();
    for step in path {
        match step {
            Step::Field(name) if text.is_empty() => text.push_str(name),
            Step::Field(name) => {
                text.push('.');
                text.push_str(name);
            }
            Step::Element(at) => {
                text.push('[');
                text.push_str(&at.to_string());
                text.push(']');
            }
        }
    }
    text
}

/// The line and column, from 1, of the field at `path`, or of the nearest field around it that
/// is there.
pub fn locate(text: &str, path: &[Step]) -> (usize, usize) {
    let place = |path: &[Step]| {
        let reader = serde_norway::Deserializer::from_str(text);
        let found = Locate { path }.deserialize(reader);
        found.err().and_then(|error| error.location())
    };
    let found = (0..=path.len())
        .rev()
        .find_map(|length| place(&path[..length]));
    found.map_or((1, 1), |location| (location.line(), location.column()))
}

struct Locate<'a> {
    path: &'a [Step],
}

impl<'de> DeserializeSeed<'de> for Locate<'_> {
    type Value = ();

    fn deserialize<D>(self, deserializer: D) -> Result<(), D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_any(self)
    }
}

impl Locate<'_> {
    fn leaf<E>(self) -> Result<(), E>
    where
        E: Error,
    {
        if self.path.is_empty() {
            return Err(E::custom("here"));
        }
        Ok(())
    }
}

impl<'de> Visitor<'de> for Locate<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("any value")
    }

    fn visit_bool<E: Error>(self, _: bool) -> Result<(), E> {
        self.leaf()
    }

    fn visit_i64<E: Error>(self, _: i64) -> Result<(), E> {
        self.leaf()
    }

    fn visit_u64<E: Error>(self, _: u64) -> Result<(), E> {
        self.leaf()
    }

    fn visit_f64<E: Error>(self, _: f64) -> Result<(), E> {
        self.leaf()
    }

    fn visit_str<E: Error>(self, _: &str) -> Result<(), E> {
        self.leaf()
    }

    fn visit_unit<E: Error>(self) -> Result<(), E> {
        self.leaf()
    }

    fn visit_seq<A>(self, mut elements: A) -> Result<(), A::Error>
    where
        A: SeqAccess<'de>,
    {
        let Some((Step::Element(wanted), rest)) = self.path.split_first() else {
            return self.leaf();
        };
        for _ in 0..*wanted {
            elements.next_element::<IgnoredAny>()?;
        }
        elements.next_element_seed(Locate { path: rest })?;
        while elements.next_element::<IgnoredAny>()?.is_some() {}
        Ok(())
    }

    fn visit_map<A>(self, mut fields: A) -> Result<(), A::Error>
    where
        A: MapAccess<'de>,
    {
        let Some((Step::Field(wanted), rest)) = self.path.split_first() else {
            return self.leaf();
        };
        while let Some(field) = fields.next_key::<String>()? {
            if field == *wanted {
                fields.next_value_seed(Locate { path: rest })?;
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
        Err(A::Error::custom("here"))
    }
}
