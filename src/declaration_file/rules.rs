//! The rules for declarations beyond their schema.

use {
    super::{
        RuleViolation,
        locate::PathStep::{self, Element, Field},
    },
    crate::change::Entry,
    cactusspur_core::{
        Class, CreditGrant, Customer, Declarations, DurationMs, Model, ServedBy, ServiceId, TimeMs,
        Tokens,
    },
};

/// The maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// The maximum first-token target.
const MAX_TARGET_MS: DurationMs = DurationMs(3_600_000);
/// The maximum answer length that a class may allow.
const MAX_ANSWER_TOKENS: Tokens = Tokens(1_000_000);
/// The length of a BLAKE3 hash in hexadecimal digits.
const KEY_HASH_DIGITS: usize = 64;
/// Times before this one are taken to be given in seconds (in milliseconds it is in the year 2001).
const MIN_TIME_MS: TimeMs = TimeMs(1_000_000_000_000);
/// Times after this one are taken to be given in microseconds (in milliseconds it is in the year
/// 5138).
const MAX_TIME_MS: TimeMs = TimeMs(100_000_000_000_000);

/// Checks the rules and returns every violation.
pub fn check(declarations: &Declarations, now: TimeMs) -> Vec<RuleViolation> {
    let mut checker = RuleChecker {
        now,
        violations: Vec::new(),
    };
    checker.check_models(&declarations.models);
    checker.check_customers(&declarations.customers);
    checker.check_classes(&declarations.classes, &declarations.models);
    checker.violations
}

struct RuleChecker {
    now: TimeMs,
    violations: Vec<RuleViolation>,
}

impl RuleChecker {
    fn report<M>(&mut self, path: &[PathStep], message: M)
    where
        M: Into<String>,
    {
        self.violations.push(RuleViolation {
            path: path.to_vec(),
            message: message.into(),
        });
    }

    fn check_models(&mut self, models: &[Model]) {
        self.check_names_unique("models", models);
        for (index, model) in models.iter().enumerate() {
            let path = [Field("models"), Element(index)];
            self.check_model_name(&join(&path, "name"), &model.name);
            if let Some(adapter) = &model.adapter {
                self.check_model_name(&join(&path, "adapter"), adapter);
            }
            if model.weights_version.0 == 0 {
                self.report(
                    &join(&path, "weights_version"),
                    "weights versions count from 1",
                );
            }
        }
    }

    fn check_customers(&mut self, customers: &[Customer]) {
        self.check_names_unique("customers", customers);
        let mut seen: Vec<&str> = Vec::new();
        for (index, customer) in customers.iter().enumerate() {
            let path = [Field("customers"), Element(index)];
            self.check_name(&join(&path, "name"), &customer.name);
            self.check_key_hashes(&join(&path, "api_key_hashes"), customer, &mut seen);
            self.check_credits(&join(&path, "credits"), &customer.credits);
        }
    }

    fn check_key_hashes<'a>(
        &mut self,
        path: &[PathStep],
        customer: &'a Customer,
        seen: &mut Vec<&'a str>,
    ) {
        if customer.api_key_hashes.is_empty() {
            self.report(path, "a customer without a key can't call");
        }
        for (index, hash) in customer.api_key_hashes.iter().enumerate() {
            let path = extend(path, Element(index));
            if !is_key_hash(hash) {
                self.report(
                    &path,
                    "not the BLAKE3 of a key in 64 lower-case hexadecimal digits \
                     (`cactusspur key-hash` makes one)",
                );
            }
            match seen.binary_search(&hash.as_str()) {
                Ok(_) => self.report(&path, "the same key is declared twice"),
                Err(position) => seen.insert(position, hash),
            }
        }
    }

    fn check_credits(&mut self, path: &[PathStep], credits: &[CreditGrant]) {
        for (index, grant) in credits.iter().enumerate() {
            let path = extend(path, Element(index));
            self.check_name(&join(&path, "name"), &grant.name);
            if credits[..index]
                .iter()
                .any(|earlier| earlier.name == grant.name)
            {
                self.report(
                    &join(&path, "name"),
                    format!("grant `{}` is declared twice", grant.name),
                );
            }
            if grant.amount_microcredits.0 == 0 {
                self.report(&join(&path, "amount_microcredits"), "an empty grant");
            }
            self.check_lapse_time(&join(&path, "lapses_at_ms"), grant.lapses_at_ms);
        }
    }

    fn check_lapse_time(&mut self, path: &[PathStep], lapses_at_ms: TimeMs) {
        if lapses_at_ms < MIN_TIME_MS {
            return self.report(path, "not in milliseconds since 1970 (seconds?)");
        }
        if lapses_at_ms > MAX_TIME_MS {
            return self.report(path, "not in milliseconds since 1970 (microseconds?)");
        }
        if lapses_at_ms <= self.now {
            self.report(path, "the grant has lapsed: remove it");
        }
    }

    fn check_classes(&mut self, classes: &[Class], models: &[Model]) {
        self.check_names_unique("classes", classes);
        self.check_service_ids(classes);
        for (index, class) in classes.iter().enumerate() {
            let path = [Field("classes"), Element(index)];
            self.check_name(&join(&path, "name"), &class.name);
            self.check_first_token_target(&join(&path, "first_token_target_ms"), class);
            let served_by = join(&path, "served_by");
            match &class.served_by {
                ServedBy::Model { .. } => self.check_model_class(&path, &served_by, class, models),
                ServedBy::Service { name, .. } => {
                    self.check_name(&join(&join(&served_by, "service"), "name"), name);
                }
            }
        }
    }

    fn check_first_token_target(&mut self, path: &[PathStep], class: &Class) {
        let target = class.first_token_target_ms;
        if target.0 == 0 {
            self.report(path, "no answer arrives in 0 ms");
        }
        if target > MAX_TARGET_MS {
            self.report(path, format!("later than {MAX_TARGET_MS} (an hour)"));
        }
    }

    fn check_model_class(
        &mut self,
        path: &[PathStep],
        served_by: &[PathStep],
        class: &Class,
        models: &[Model],
    ) {
        let ServedBy::Model {
            name,
            adapter,
            max_answer_tokens,
        } = &class.served_by
        else {
            return;
        };
        let model_path = join(served_by, "model");
        let is_declared = models
            .iter()
            .any(|model| model.name == *name && model.adapter == *adapter);
        if !is_declared {
            let adapter = adapter.as_ref().map(|adapter| format!(" with `{adapter}`"));
            self.report(
                &join(&model_path, "name"),
                format!(
                    "model `{name}`{} is not declared under `models`",
                    adapter.unwrap_or_default()
                ),
            );
        }
        if max_answer_tokens.0 == 0 || *max_answer_tokens > MAX_ANSWER_TOKENS {
            self.report(
                &join(&model_path, "max_answer_tokens"),
                format!("not from 1 to {}", MAX_ANSWER_TOKENS.0),
            );
        }
        if class.max_cost_microcredits.0 == 0 {
            self.report(
                &join(path, "max_cost_microcredits"),
                "no model answers for 0 microcredits",
            );
        }
    }

    fn check_service_ids(&mut self, classes: &[Class]) {
        let mut seen: Vec<(ServiceId, &str)> = Vec::new();
        for (index, class) in classes.iter().enumerate() {
            let ServedBy::Service { name, .. } = &class.served_by else {
                continue;
            };
            let id = ServiceId::from_name(name);
            if seen
                .iter()
                .any(|(other, text)| *other == id && text != name)
            {
                let path = [Field("classes"), Element(index), Field("served_by")];
                self.report(&path, "its service's id collides with another's: rename it");
            }
            seen.push((id, name));
        }
    }

    fn check_names_unique<T>(&mut self, list: &'static str, entries: &[T])
    where
        T: Entry,
    {
        let mut seen: Vec<(T::Id, String)> = Vec::new();
        for (index, entry) in entries.iter().enumerate() {
            let path = [Field(list), Element(index), Field("name")];
            let name = entry.entry_name();
            match seen.binary_search_by_key(&entry.entry_id(), |row| row.0) {
                Err(position) => seen.insert(position, (entry.entry_id(), name)),
                Ok(earlier) if seen[earlier].1 == name => {
                    self.report(&path, format!("{} `{name}` is declared twice", T::KIND));
                }
                Ok(earlier) => {
                    let message = format!(
                        "the id of `{name}` collides with that of `{}`: rename one",
                        seen[earlier].1
                    );
                    self.report(&path, message);
                }
            }
        }
    }

    fn check_name(&mut self, path: &[PathStep], name: &str) {
        let is_allowed =
            |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c);
        if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(is_allowed) {
            self.report(
                path,
                "a name has 1 to 64 lower-case letters, digits, `-`, `_` and `.`",
            );
        }
    }

    fn check_model_name(&mut self, path: &[PathStep], name: &str) {
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_./:".contains(c);
        if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(is_allowed) {
            self.report(
                path,
                "a model's name has 1 to 64 letters, digits, `-`, `_`, `.`, `/` and `:`",
            );
        }
    }
}

fn is_key_hash(text: &str) -> bool {
    let is_digit = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
    text.len() == KEY_HASH_DIGITS && text.chars().all(is_digit)
}

fn extend(path: &[PathStep], step: PathStep) -> Vec<PathStep> {
    let mut path = path.to_vec();
    path.push(step);
    path
}

fn join(path: &[PathStep], field: &'static str) -> Vec<PathStep> {
    extend(path, Field(field))
}
