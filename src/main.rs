//! The command line for operators.

use {
    cactusspur::operator::{Arguments, run},
    clap::Parser,
    std::{io, process::ExitCode},
};

#[ntex::main]
async fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let format = arguments.output;
    match run(arguments, &mut io::stdout()).await {
        Ok(status) => status.into(),
        Err(failure) => {
            eprintln!("{}", failure.text(format));
            failure.status().into()
        }
    }
}
