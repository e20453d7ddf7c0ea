//! Plays one case of the review: `review-standins CASE RECORD`. Exits with 1 if the rule was broken, 0 if
//! it held, and 2 if the case couldn't run.

mod fleet;
mod http;
mod joined;
mod record;
mod removed;
mod setup;
mod split;
mod stopped;
mod store;
mod takeup;
mod walled;
mod worker;

use {
    crate::{
        http::{Answer, Channel, exchange},
        record::Record,
    },
    std::{
        env,
        net::SocketAddr,
        process::{self, ExitCode},
        thread,
        time::Duration,
    },
};

/// The longest time that a case may take.
const LIMIT: Duration = Duration::from_secs(115);

/// Sends a request on a new channel.
pub fn call(address: SocketAddr, bytes: &[u8], limit: Duration) -> Answer {
    match Channel::open(address) {
        Ok(mut channel) => exchange(&mut channel, bytes, limit, &mut |_| ()),
        Err(error) => Answer {
            message: None,
            error: Some(error.to_string()),
            took: Duration::ZERO,
        },
    }
}

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("usage: review-standins CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    thread::spawn(|| {
        // `run.sh` ends the processes that are left.
        thread::sleep(LIMIT);
        process::exit(2);
    });
    let record = Record::create(path);
    record.tell(&format!("case {case}, trouble: {has_trouble}"));
    let result = match case.as_str() {
        "joined" => joined::run(&record, has_trouble),
        "stopped" => stopped::run(&record, has_trouble),
        "split" => split::run(&record, has_trouble),
        "walled" => walled::run(&record, has_trouble),
        "removed" => removed::run(&record, has_trouble),
        _ => Err(format!("no case {case}")),
    };
    match result {
        Ok(true) => {
            record.tell("the rule was broken");
            ExitCode::from(1)
        }
        Ok(false) => {
            record.tell("the rule held");
            ExitCode::SUCCESS
        }
        Err(error) => {
            record.tell(&format!("the case couldn't run: {error}"));
            ExitCode::from(2)
        }
    }
}
