//! Command errors with an exit status and advice for the operator.

use crate::ExitStatus;
use foxtide_config::blocks::BlocksChangeError;
use foxtide_config::change::{
    ChangeError,
    Conflict,
    Difference, //
};
use foxtide_core::blocks::BlocksError;
use std::fmt::{
    Display,
    Write as _, //
};
use std::io::Write;

/// A failed command.
#[derive(Debug)]
pub(crate) struct Failure {
    status: ExitStatus,
    problem: String,
    advice: String,
}

impl Failure {
    /// Returns a failure caused by invalid input or a refused change.
    pub(crate) fn refused(problem: impl Display, advice: impl Display) -> Self {
        Self::new(ExitStatus::Refused, problem, advice)
    }

    /// Returns a failure caused by a concurrent change.
    pub(crate) fn conflict(problem: impl Display, advice: impl Display) -> Self {
        Self::new(ExitStatus::Conflict, problem, advice)
    }

    /// Returns a failure caused by no instance responding.
    pub(crate) fn no_instance(problem: impl Display, advice: impl Display) -> Self {
        Self::new(ExitStatus::InstanceUnreachable, problem, advice)
    }

    fn new(status: ExitStatus, problem: impl Display, advice: impl Display) -> Self {
        Self {
            status,
            problem: problem.to_string(),
            advice: advice.to_string(),
        }
    }

    /// Prints the failure and returns the exit status.
    pub(crate) fn print(&self, errors: &mut dyn Write) -> ExitStatus {
        // Write errors are ignored: the exit status still reports the failure.
        let _ = writeln!(errors, "error: {}", self.problem.trim_end());
        let _ = writeln!(errors, "next: {}", self.advice);
        self.status
    }
}

impl From<foxtide_config::Error> for Failure {
    fn from(error: foxtide_config::Error) -> Self {
        Self::refused(
            error,
            "correct it and run the command again; nothing was changed",
        )
    }
}

impl From<foxtide_core::Error> for Failure {
    fn from(error: foxtide_core::Error) -> Self {
        Self::refused(
            error,
            "correct it and run the command again; nothing was changed",
        )
    }
}

impl From<ChangeError> for Failure {
    fn from(error: ChangeError) -> Self {
        match error {
            ChangeError::Invalid(error) => error.into(),
            ChangeError::NotFound(_) => Self::refused(error, "see `foxtidectl organisation list`"),
            ChangeError::Conflict(conflict) => conflict_failure(&conflict),
            ChangeError::Unsettled { .. } => Self::new(
                ExitStatus::Unsettled,
                error,
                "run the same command again; it detects whether the change took effect",
            ),
            ChangeError::Store(_) => Self::new(
                ExitStatus::StoreUnreachable,
                error,
                "nothing was changed; check --store and docs/operations/store.md",
            ),
        }
    }
}

impl From<BlocksError> for Failure {
    fn from(error: BlocksError) -> Self {
        Self::refused(
            error,
            "correct it and run the command again; nothing was changed",
        )
    }
}

impl From<BlocksChangeError> for Failure {
    fn from(error: BlocksChangeError) -> Self {
        match error {
            BlocksChangeError::Blocks(error) => error.into(),
            BlocksChangeError::Conflict { .. } => Self::conflict(
                error,
                "see `foxtidectl blocks show`, then run the command again if still needed",
            ),
            BlocksChangeError::Unsettled { .. } => Self::new(
                ExitStatus::Unsettled,
                error,
                "see `foxtidectl blocks show` to find out whether the change took effect",
            ),
            BlocksChangeError::Store(_) => Self::new(
                ExitStatus::StoreUnreachable,
                error,
                "the table was not changed; check --store and docs/operations/store.md",
            ),
        }
    }
}

fn conflict_failure(conflict: &Conflict) -> Failure {
    let mut problem = format!("not accepted: {}\n", conflict.summary());
    append_differences(&mut problem, "the accepted change:", &conflict.theirs);
    append_differences(&mut problem, "this change:", &conflict.ours);
    let advice = if conflict.conflicting_paths.is_empty() {
        "add --rebase to apply this change on top of the accepted one"
    } else {
        "agree with the other operator, then run the command again"
    };
    Failure::conflict(problem, advice)
}

fn append_differences(text: &mut String, title: &str, differences: &[Difference]) {
    let _ = writeln!(text, "{title}");
    for difference in differences {
        let _ = writeln!(text, "  {difference}");
    }
}
