//! Stand-ins and checks of the review's scripts: `standin CASE FOLDER`.
//!
//! Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. Without the
//! variable TROUBLE, or with any value but 0, the disruption takes place.

mod client;
mod fleet;
mod json;
mod member;
mod record;
mod stop;
mod store;
mod sync;

use std::path::PathBuf;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: standin CASE FOLDER");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = PathBuf::from(folder);
    let outcome = match case.as_str() {
        "stop" => stop::run(&folder, has_trouble),
        "sync" => sync::run(&folder, has_trouble, sync::Other::Busy),
        "drain" => sync::run(&folder, has_trouble, sync::Other::Draining),
        _ => Err(format!("no case {case:?}")),
    };
    match outcome {
        Ok(true) => {
            println!("{case}: the rule held");
        }
        Ok(false) => {
            println!("{case}: the rule was broken, see record.txt");
            std::process::exit(1);
        }
        Err(problem) => {
            println!("{case}: the case couldn't run: {problem}");
            std::process::exit(2);
        }
    }
}

/// Folder for the settings and logs of the processes; removed at the end.
pub struct Scratch(pub PathBuf);

impl Scratch {
    pub fn new() -> Result<Self, String> {
        let path = std::env::temp_dir().join(format!("filbertbay-review-{}", std::process::id()));
        std::fs::create_dir_all(&path).map_err(|error| error.to_string())?;
        Ok(Self(path))
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}
