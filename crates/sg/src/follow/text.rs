//! Tells people whether a change is accepted.

use std::fmt;

use super::{Acceptance, Missing, State, Why};

impl fmt::Display for Acceptance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (has, all) = (
            self.in_force.len(),
            self.in_force.len() + self.missing.len(),
        );
        let revision = self.revision;
        let verdict = match self.accepted {
            true => "accepted",
            false => "not yet accepted",
        };
        let secs = self.took.as_secs_f64();
        write!(
            f,
            "revision {revision} is {verdict}: in force on {has} of {all} after {secs:.1} s"
        )?;
        f.write_str(match self.state {
            State::Everywhere => "",
            State::Fenced => {
                ", a majority of the slots among them; the missing ones must have fenced themselves"
            }
            State::Fencing => ", a majority of the slots among them",
            State::Waiting if all == 0 => "; the list of instances is empty or can't be read",
            State::Waiting => ", no majority of the slots among them",
            State::Refused => "; instances that know of it serve by an earlier revision",
        })?;
        if let Some(span) = self.fenced_in {
            let secs = span.as_secs_f64();
            write!(
                f,
                "; in {secs:.1} s the missing ones must have fenced themselves"
            )?;
        }
        for missing in &self.missing {
            write!(f, "\nmissing: {missing}")?;
        }
        if !self.accepted {
            write!(f, "\n'sg tree status {revision}' looks again")?;
        }
        Ok(())
    }
}

impl fmt::Display for Missing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ", self.instance)?;
        match &self.why {
            Why::Silent => f.write_str("doesn't answer"),
            Why::Older { in_force } => write!(f, "has revision {in_force} in force"),
            Why::Refused {
                newest,
                in_force,
                faults,
            } => {
                write!(
                    f,
                    "refused revision {newest} and has {in_force} in force, without the keys that \
                     {newest} withdraws"
                )?;
                for fault in faults {
                    write!(f, "\n  {fault}")?;
                }
                Ok(())
            }
        }
    }
}
