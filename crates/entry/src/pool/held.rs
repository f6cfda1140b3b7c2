//! Connection that is checked out of the pool, and the session state that is applied to it.
//!
//! Sessions share connections, so before each statement the connection gets the session's values
//! and its prepared statement.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use super::{Connection, EndpointPool, InFlightGuard};
use crate::endpoint::{Access, EndpointConnection, Reply, Request, RequestKind};

/// Prepared statements that one connection keeps; beyond this all its session state is reset.
const MAX_PREPARED: usize = 128;

/// Connection that is checked out of the pool; closed on drop unless it was released.
pub struct PooledConnection {
    pub(super) connection: Option<Connection>,
    pub(super) endpoint_pool: Rc<EndpointPool>,
    pub(super) permit: Option<Box<InFlightGuard>>,
}

impl std::fmt::Debug for PooledConnection {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PooledConnection").finish_non_exhaustive()
    }
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        if self.connection.take().is_some() {
            self.endpoint_pool.release_slot();
        }
    }
}

/// Session state that a connection needs for a statement.
#[derive(Clone, Copy, Debug)]
pub struct SessionState<'a> {
    /// Session values that the caller set.
    pub values: &'a BTreeMap<Arc<str>, Arc<str>>,
    /// Template and access of the prepared statement that is about to run.
    pub prepared: Option<(Access, &'a Arc<str>)>,
}

impl PooledConnection {
    /// Returns the connections to the same endpoint.
    pub fn endpoint_pool(&self) -> &Rc<EndpointPool> {
        &self.endpoint_pool
    }

    /// Returns the permission to run one statement, which counts it as in flight until it is dropped.
    ///
    /// A connection that was not acquired for a statement of a caller has none left.
    pub fn take_permit(&mut self) -> Option<Box<InFlightGuard>> {
        self.permit.take()
    }

    /// Returns the connection to the pool.
    pub fn release(mut self) {
        if let Some(connection) = self.connection.take() {
            self.endpoint_pool.return_connection(connection);
        }
    }

    /// Sends one request and waits for its answer.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection failed; the connection must then be dropped.
    pub async fn run(&mut self, request: &Request<'_>) -> std::io::Result<Reply> {
        let inner = self.inner()?;
        inner.send(std::slice::from_ref(request)).await?;
        inner.receive().await
    }

    fn inner(&mut self) -> std::io::Result<&mut Box<dyn EndpointConnection>> {
        let connection = self.connection.as_mut();
        let connection = connection.ok_or(std::io::ErrorKind::NotConnected)?;
        Ok(&mut connection.inner)
    }

    /// Sets the session's values and prepares its statement on the connection, as far as they are
    /// missing there.
    ///
    /// Returns the name of the prepared statement on this connection; none if `state` has none.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection failed or the endpoint refused; the connection must then
    /// be dropped.
    pub async fn apply_session_state(
        &mut self,
        state: SessionState<'_>,
    ) -> std::io::Result<Option<Arc<str>>> {
        let connection = self.connection.as_mut();
        let connection = connection.ok_or(std::io::ErrorKind::NotConnected)?;
        let has_extra_value = connection
            .values
            .keys()
            .any(|name| !state.values.contains_key(name));
        if has_extra_value || connection.prepared.len() > MAX_PREPARED {
            connection.values.clear();
            connection.prepared.clear();
            execute_all(connection, &[Request::internal(RequestKind::Reset)]).await?;
        }
        let missing = state
            .values
            .iter()
            .filter(|(name, value)| connection.values.get(*name) != Some(*value));
        let missing: Vec<(Arc<str>, Arc<str>)> = missing
            .map(|(name, value)| (Arc::clone(name), Arc::clone(value)))
            .collect();
        if !missing.is_empty() {
            let sets = missing.iter();
            let sets = sets.map(|(name, value)| Request::internal(RequestKind::Set(name, value)));
            let sets: Vec<Request<'_>> = sets.collect();
            execute_all(connection, &sets).await?;
            connection.values.extend(missing);
        }
        let Some((access, template)) = state.prepared else {
            return Ok(None);
        };
        let key = (access, Arc::clone(template));
        if let Some(name) = connection.prepared.get(&key) {
            return Ok(Some(Arc::clone(name)));
        }
        connection.prepare_count += 1;
        let name: Arc<str> = format!("p{}", connection.prepare_count).into();
        let prepare = Request::internal(RequestKind::Prepare(&name, access, template));
        execute_all(connection, &[prepare]).await?;
        connection.prepared.insert(key, Arc::clone(&name));
        Ok(Some(name))
    }
}

/// Runs the instance's own requests; fails if the endpoint refuses any of them.
async fn execute_all(connection: &mut Connection, requests: &[Request<'_>]) -> std::io::Result<()> {
    connection.inner.send(requests).await?;
    for _ in requests {
        let reply = connection.inner.receive().await?;
        if let Err(refusal) = reply.result {
            let text = format!("session state refused: {} {}", refusal.code, refusal.text);
            return Err(std::io::Error::other(text));
        }
    }
    Ok(())
}
