//! Client of the system (PROTOCOL.md, "The wire" and "Clients").

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Statement that a client sent, with its answer.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub text: String,
    pub machine: usize,
    pub sent: Instant,
    pub ended: Instant,
    pub answer: Answer,
}

pub struct Client {
    output: TcpStream,
    input: BufReader<TcpStream>,
}

/// Answer to a statement.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// Rows and receipt.
    Complete(Vec<String>, String),
    /// Code.
    Error(String),
    /// The connection ended without a complete answer.
    Cut,
    /// No complete answer within the time limit.
    Late,
}

impl Client {
    /// Opens a session. Returns `None` if the system doesn't accept it.
    pub fn open(address: SocketAddr, database: &str, key: &str, limit: Duration) -> Option<Self> {
        let output = TcpStream::connect_timeout(&address, Duration::from_secs(2)).ok()?;
        output.set_nodelay(true).ok()?;
        output.set_read_timeout(Some(limit)).ok()?;
        let input = BufReader::new(output.try_clone().ok()?);
        let mut client = Self { output, input };
        client.send(&format!("START {database} {key}\r\n")).ok()?;
        let first = client.line().ok()?;
        first.starts_with("READY I").then_some(client)
    }

    fn send(&mut self, text: &str) -> std::io::Result<()> {
        self.output.write_all(text.as_bytes())
    }

    fn line(&mut self) -> Result<String, Answer> {
        let mut line = String::new();
        match self.input.read_line(&mut line) {
            Ok(0) => Err(Answer::Cut),
            Ok(_) if line.ends_with("\r\n") => Ok(line.trim_end().to_owned()),
            Ok(_) => Err(Answer::Cut),
            Err(error) => match error.kind() {
                std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut => Err(Answer::Late),
                _ => Err(Answer::Cut),
            },
        }
    }

    /// Returns whether the system has closed the session, without waiting.
    pub fn is_closed(&mut self) -> bool {
        let mut byte = [0];
        let _ = self.output.set_nonblocking(true);
        let peeked = self.output.peek(&mut byte);
        let _ = self.output.set_nonblocking(false);
        match peeked {
            Ok(count) => count == 0,
            Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
        }
    }

    /// Sends a statement and waits for its answer.
    pub fn query(&mut self, id: &str, text: &str) -> Answer {
        if self.send(&format!("QUERY {id} {text}\r\n")).is_err() {
            return Answer::Cut;
        }
        let mut rows = Vec::new();
        let mut outcome = None;
        loop {
            let line = match self.line() {
                Ok(line) => line,
                Err(answer) => return answer,
            };
            if let Some(row) = line.strip_prefix("ROW ") {
                rows.push(row.to_owned());
            } else if let Some(receipt) = line.strip_prefix("COMPLETE ") {
                outcome = Some(Answer::Complete(std::mem::take(&mut rows), receipt.to_owned()));
            } else if let Some(rest) = line.strip_prefix("ERROR ") {
                outcome = Some(Answer::Error(rest.split(' ').next().unwrap_or("").to_owned()));
            } else if line.starts_with("READY") {
                return outcome.unwrap_or(Answer::Cut);
            }
        }
    }
}
