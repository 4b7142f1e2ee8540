//! Paths to values in a document.

use std::fmt;

/// One step from a value to a part of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// To the field of a mapping.
    Field(String),
    /// To an item of a list, counted from zero.
    Index(usize),
}

/// Path from the top of a document to a value, displayed as
/// `services[1].targets[0].address`.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Path(Vec<Step>);

impl Path {
    /// Returns the path of the field `name` under this one.
    pub fn field(&self, name: &str) -> Path {
        self.step(Step::Field(name.to_owned()))
    }

    /// Returns the path of the item `index` under this one.
    pub fn index(&self, index: usize) -> Path {
        self.step(Step::Index(index))
    }

    /// Returns the steps from the top.
    pub fn steps(&self) -> &[Step] {
        &self.0
    }

    fn step(&self, step: Step) -> Path {
        let mut steps = Vec::with_capacity(self.0.len() + 1);
        steps.extend_from_slice(&self.0);
        steps.push(step);
        Path(steps)
    }
}

impl fmt::Display for Path {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() {
            return f.write_str("(top)");
        }
        for (ix, step) in self.0.iter().enumerate() {
            match step {
                Step::Field(name) if ix == 0 => f.write_str(name)?,
                Step::Field(name) => write!(f, ".{name}")?,
                Step::Index(index) => write!(f, "[{index}]")?,
            }
        }
        Ok(())
    }
}
