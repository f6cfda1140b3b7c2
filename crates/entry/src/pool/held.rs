//! Connection in use, and the session state that it carries.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use super::{Connection, Member};
use crate::endpoint::{Access, Link, Reply, Request, Verb};

/// Prepared statements that one connection keeps; more are dropped with all session state.
const MAX_PREPARED: usize = 128;

/// Connection in use; it is closed when dropped, unless it was released.
pub struct Held {
    pub(super) connection: Option<Connection>,
    pub(super) member: Rc<Member>,
}

impl std::fmt::Debug for Held {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Held").finish_non_exhaustive()
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        if self.connection.take().is_some() {
            self.member.close_one();
        }
    }
}

/// Session state that a connection must carry for a statement.
#[derive(Clone, Copy, Debug)]
pub struct Carried<'a> {
    /// Values that the caller set.
    pub values: &'a BTreeMap<Arc<str>, Arc<str>>,
    /// Prepared statement that is about to run.
    pub prepared: Option<(Access, &'a Arc<str>)>,
}

impl Held {
    /// Returns the member.
    pub fn member(&self) -> &Rc<Member> {
        &self.member
    }

    /// Gives the connection back for the next statement.
    pub fn release(mut self) {
        if let Some(connection) = self.connection.take() {
            self.member.put_back(connection);
        }
    }

    /// Sends one request and waits for its answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection failed; it must then be dropped.
    pub async fn run(&mut self, request: &Request<'_>) -> std::io::Result<Reply> {
        let link = self.link()?;
        link.send(std::slice::from_ref(request)).await?;
        link.receive().await
    }

    fn link(&mut self) -> std::io::Result<&mut Box<dyn Link>> {
        let connection = self.connection.as_mut();
        let connection = connection.ok_or(std::io::ErrorKind::NotConnected)?;
        Ok(&mut connection.link)
    }

    /// Brings values and the prepared statement of a session onto the connection, and returns the
    /// name under which the statement runs here.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection failed or the endpoint refused; it must then be dropped.
    pub async fn carry(&mut self, carried: Carried<'_>) -> std::io::Result<Option<Arc<str>>> {
        let connection = self.connection.as_mut();
        let connection = connection.ok_or(std::io::ErrorKind::NotConnected)?;
        let foreign = connection
            .values
            .keys()
            .any(|name| !carried.values.contains_key(name));
        if foreign || connection.prepared.len() > MAX_PREPARED {
            connection.values.clear();
            connection.prepared.clear();
            ask(connection, &[Request::own(Verb::Reset)]).await?;
        }
        let missing = carried
            .values
            .iter()
            .filter(|(name, value)| connection.values.get(*name) != Some(*value));
        let missing: Vec<(Arc<str>, Arc<str>)> = missing
            .map(|(name, value)| (Arc::clone(name), Arc::clone(value)))
            .collect();
        if !missing.is_empty() {
            let sets = missing.iter();
            let sets = sets.map(|(name, value)| Request::own(Verb::Set(name, value)));
            let sets: Vec<Request<'_>> = sets.collect();
            ask(connection, &sets).await?;
            connection.values.extend(missing);
        }
        let Some((access, shape)) = carried.prepared else {
            return Ok(None);
        };
        let key = (access, Arc::clone(shape));
        if let Some(name) = connection.prepared.get(&key) {
            return Ok(Some(Arc::clone(name)));
        }
        connection.names += 1;
        let name: Arc<str> = format!("p{}", connection.names).into();
        let prepare = Request::own(Verb::Prepare(&name, access, shape));
        ask(connection, &[prepare]).await?;
        connection.prepared.insert(key, Arc::clone(&name));
        Ok(Some(name))
    }
}

/// Sends requests of the instance itself, all of which must succeed.
async fn ask(connection: &mut Connection, requests: &[Request<'_>]) -> std::io::Result<()> {
    connection.link.send(requests).await?;
    for _ in requests {
        let reply = connection.link.receive().await?;
        if let Err(refusal) = reply.result {
            let text = format!("session state refused: {} {}", refusal.code, refusal.text);
            return Err(std::io::Error::other(text));
        }
    }
    Ok(())
}
