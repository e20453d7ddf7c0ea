//! Stand-ins and cases of the second review. `review-standins-2 CASE FOLDER` runs a case and writes `record.txt`
//! into the folder. The environment variable `TROUBLE=0` leaves out the disruption.

mod client;
mod drain;
mod engine;
mod fleet;
mod http;
mod json;
mod record;
mod spot;
mod store;
mod unread;
mod upgrade;
mod worker;

use std::path::PathBuf;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let words: Vec<String> = std::env::args().skip(1).collect();
    if words.first().is_some_and(|word| word == "engine") {
        engine::run(&words[1..]);
    }
    let (case, folder) = (arguments.next(), arguments.next());
    let folder = PathBuf::from(folder.unwrap_or_default());
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let case = case.unwrap_or_default();
    let run = std::panic::catch_unwind(|| match case.as_str() {
        "spot" => spot::run(&folder, has_trouble),
        "upgrade" => upgrade::run(&folder, has_trouble),
        "unread" => unread::run(&folder, has_trouble),
        "drain" => drain::run(&folder, has_trouble),
        _ => {
            eprintln!("unknown case {case}");
            2
        }
    });
    std::process::exit(run.unwrap_or(2));
}
