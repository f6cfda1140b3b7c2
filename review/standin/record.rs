//! Record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

use crate::client::Request;
use crate::member::Group;

pub struct Record {
    file: Mutex<File>,
    began: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("record.txt can be written");
        Self {
            file: Mutex::new(file),
            began: Instant::now(),
        }
    }

    /// Writes a line with the time since the start.
    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    pub fn line_at(&self, at: Instant, text: &str) {
        let seconds = at.saturating_duration_since(self.began).as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{seconds:8.3} s  {text}");
    }

    /// Writes what was sent, answered and run, in the order in which it was sent.
    pub fn requests(&self, requests: &[Request], group: &Group) {
        let mut requests: Vec<&Request> = requests.iter().collect();
        requests.sort_by_key(|request| request.sent);
        let runs = group.runs.lock().unwrap();
        let mut file = self.file.lock().unwrap();
        for request in requests {
            let seconds = |at: Instant| at.saturating_duration_since(self.began).as_secs_f64();
            let ran: Vec<String> = runs
                .get(&request.id)
                .into_iter()
                .flatten()
                .map(|run| {
                    let (began, ended) = (seconds(run.began), seconds(run.ended));
                    format!("member {} {began:.3} to {ended:.3} s", run.member)
                })
                .collect();
            let _ = writeln!(
                file,
                "{:8.3} s  machine {} is sent {} {}; run: {}; {:.3} s: {:?}",
                seconds(request.sent),
                request.machine,
                request.id,
                request.text,
                if ran.is_empty() {
                    "no".to_owned()
                } else {
                    ran.join(", ")
                },
                seconds(request.ended),
                request.answer
            );
        }
    }
}
