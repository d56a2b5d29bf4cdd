//! Command-line tool for operators of foxtide, as a library so that tests can run
//! it in process.

mod admin;
mod arguments;
mod change_document;
mod commands;
mod exit;
mod failure;
mod options;
mod report;
mod session;

pub use exit::ExitStatus;

use arguments::{
    Arguments,
    Command, //
};
use failure::Failure;
use report::Report;
use session::Session;
use std::io::Write;

const PROGRAM_NAME: &str = "foxtidectl";

/// Runs one command, writing results to `output` and errors to `errors`.
pub fn run(arguments: &[String], output: &mut dyn Write, errors: &mut dyn Write) -> ExitStatus {
    let arguments = match arguments::parse(PROGRAM_NAME, arguments) {
        Ok(arguments) => arguments,
        Err(help) => return help.print(output, errors),
    };
    let session = Session::new(&arguments.options);
    match smol::block_on(execute(arguments, &session, output)) {
        Ok(report) => report.print(session.json(), output, errors),
        Err(failure) => failure.print(errors),
    }
}

async fn execute(
    arguments: Arguments,
    session: &Session,
    output: &mut dyn Write,
) -> Result<Report, Failure> {
    match arguments.command {
        Command::Organisation(command) => command.run(session).await,
        Command::Drain(command) => command.run(session).await,
        Command::Move(command) => command.run(session).await,
        Command::Blocks(command) => command.run(session).await,
        Command::Template(command) => command.run(),
        Command::Check(command) => command.run(),
        Command::Instances(command) => command.run(session).await,
        Command::Promises(command) => command.run(session).await,
        Command::Explain(command) => command.run(session).await,
        Command::Losses(command) => command.run(),
        Command::TimeLine(command) => command.run(session, output).await,
    }
}
