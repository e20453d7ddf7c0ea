//! What the tool prints and saves.

use {
    crate::load::{
        measure::{COLUMNS, Column, Count, Figures, RunRecord, Spread},
        number::float,
        policy::Policy,
        scenario::Scenario,
        unbounded::PromptTokens,
        workload::Workload,
    },
    serde::{Deserialize, Serialize},
    std::fmt::{self, Display, Formatter, Write},
};

/// The results of one call of the tool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Whose traffic.
    pub workload: Workload,
    /// Under which circumstances.
    pub scenario: Scenario,
    /// The seed.
    pub seed: u64,
    /// How long requests were sent that count, in seconds.
    pub seconds: u64,
    /// How long requests were sent before, in seconds.
    pub warm_up_seconds: u64,
    /// Model requests a second, on average.
    pub rate_per_s: f64,
    /// Chats a second that the engines could serve with an unbounded shared cache.
    pub capacity_per_s: f64,
    /// Entry VMs.
    pub entry_vms: usize,
    /// The hit rate that one unbounded cache shared by all engines has on the whole schedule.
    pub unbounded_hit_rate: f64,
    /// The runs, in the order in which they were made.
    pub runs: Vec<RunRecord>,
    /// Medians over the repeats.
    pub medians: Vec<Median>,
}

/// The median of one figure of one policy over its runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Median {
    /// The policy.
    pub policy: Policy,
    /// The class, or all chats.
    pub class: String,
    /// The figure.
    pub column: String,
    /// The median and its spread.
    pub spread: Spread,
}

/// The hit rate of a whole schedule.
#[must_use]
pub fn hit_rate(tokens: &[PromptTokens]) -> f64 {
    let cached = tokens.iter().map(|row| row.cached).sum();
    let prompt = tokens.iter().map(|row| row.prompt).sum();
    crate::load::number::ratio(cached, prompt)
}

impl Report {
    /// Fills the medians in.
    #[must_use]
    pub fn with_medians(mut self) -> Self {
        let mut medians = Vec::new();
        for policy in self.policies() {
            for class in self.classes() {
                medians.extend(self.medians_of(policy, &class));
            }
        }
        self.medians = medians;
        self
    }

    fn medians_of(&self, policy: Policy, class: &str) -> impl Iterator<Item = Median> {
        COLUMNS.iter().map(move |column| Median {
            policy,
            class: class.to_owned(),
            column: column.name.to_owned(),
            spread: self.spread(policy, class, column),
        })
    }

    /// The policies that were run, in the order of their first runs.
    #[must_use]
    pub fn policies(&self) -> Vec<Policy> {
        let mut policies = Vec::new();
        for run in &self.runs {
            if !policies.contains(&run.policy) {
                policies.push(run.policy);
            }
        }
        policies
    }

    /// All chats, then the classes.
    #[must_use]
    pub fn classes(&self) -> Vec<String> {
        let first = self.runs.first();
        first.map_or_else(Vec::new, |run| {
            run.figures.iter().map(|row| row.name.clone()).collect()
        })
    }

    /// The runs of a policy.
    pub fn runs_of(&self, policy: Policy) -> impl Iterator<Item = &RunRecord> {
        self.runs.iter().filter(move |run| run.policy == policy)
    }

    pub(crate) fn figures_of(&self, policy: Policy, class: &str) -> impl Iterator<Item = &Figures> {
        self.runs_of(policy)
            .flat_map(|run| &run.figures)
            .filter(move |figures| figures.name == class)
    }

    /// A figure of a policy over its runs.
    #[must_use]
    pub fn spread(&self, policy: Policy, class: &str, column: &Column) -> Spread {
        let values = self.figures_of(policy, class).map(column.of).collect();
        Spread::of(values)
    }

    fn write_class(&self, class: &str, out: &mut Formatter<'_>) -> fmt::Result {
        writeln!(out, "\n{class}")?;
        write!(out, "{:<24}", "")?;
        for policy in self.policies() {
            write!(out, "{:>30}", policy.to_string())?;
        }
        writeln!(out)?;
        for column in &COLUMNS {
            self.write_row(class, column, out)?;
        }
        self.write_counts("refused", class, |figures| &figures.refused, out)?;
        self.write_counts("failed", class, |figures| &figures.failed, out)
    }

    /// Writes a figure of all policies, unless it is zero for all.
    fn write_row(&self, class: &str, column: &Column, out: &mut Formatter<'_>) -> fmt::Result {
        let policies = self.policies().into_iter();
        let spreads: Vec<Spread> = policies
            .map(|policy| self.spread(policy, class, column))
            .collect();
        if spreads.iter().all(|spread| spread.max <= 0.0) {
            return Ok(());
        }
        write!(out, "  {:<22}", column.name)?;
        for spread in spreads {
            write!(out, "{:>30}", shown(spread, column.digits))?;
        }
        writeln!(out)
    }

    fn write_counts<F>(
        &self,
        what: &str,
        class: &str,
        of: F,
        out: &mut Formatter<'_>,
    ) -> fmt::Result
    where
        F: Fn(&Figures) -> &Vec<Count>,
    {
        for policy in self.policies() {
            for (repeat, figures) in self.figures_of(policy, class).enumerate() {
                let counts = of(figures);
                if counts.is_empty() {
                    continue;
                }
                let mut causes = String::new();
                for row in counts {
                    write!(causes, " {}={}", row.name, row.count)?;
                }
                writeln!(out, "  {policy} run {repeat} {what}:{causes}")?;
            }
        }
        Ok(())
    }

    fn write_course(&self, out: &mut Formatter<'_>) -> fmt::Result {
        for run in &self.runs {
            writeln!(
                out,
                "{} run {} engines: {}",
                run.policy, run.repeat, run.engines
            )?;
            if let Some(seconds) = run.recovered_after_s {
                writeln!(
                    out,
                    "{} run {} recovered {seconds} s after the fault",
                    run.policy, run.repeat
                )?;
            }
            if let Some(lapsed) = run.lapsed {
                writeln!(out, "{} run {} credits: {lapsed}", run.policy, run.repeat)?;
            }
        }
        Ok(())
    }
}

fn shown(spread: Spread, digits: usize) -> String {
    let Spread { median, min, max } = spread;
    if (max - min).abs() < f64::EPSILON {
        return format!("{median:.digits$}");
    }
    format!("{median:.digits$} ({min:.digits$}..{max:.digits$})")
}

impl Display for Report {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        writeln!(
            out,
            "{} {}: seed {}, {} s after {} s at {:.1} chats/s of {:.1}, {} entry VMs, medians (least..greatest)",
            self.workload,
            self.scenario,
            self.seed,
            self.seconds,
            self.warm_up_seconds,
            self.rate_per_s,
            self.capacity_per_s,
            self.entry_vms,
        )?;
        writeln!(
            out,
            "hit rate of an unbounded shared cache on the whole schedule: {:.3}",
            self.unbounded_hit_rate
        )?;
        for class in self.classes() {
            self.write_class(&class, out)?;
        }
        writeln!(out)?;
        self.write_course(out)?;
        for standing in self.standings() {
            writeln!(out, "{standing}")?;
        }
        Ok(())
    }
}

/// The share of `of` values at or under each step of a plot, as `(value, share)`.
#[must_use]
pub fn cumulative(sorted: &[u64], steps: usize) -> Vec<(u64, f64)> {
    if sorted.is_empty() {
        return Vec::new();
    }
    let last = sorted.len() - 1;
    (0..=steps)
        .map(|step| {
            let at = last * step / steps.max(1);
            (sorted[at], float(step as u64) / float(steps.max(1) as u64))
        })
        .collect()
}
