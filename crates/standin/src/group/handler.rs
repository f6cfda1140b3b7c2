//! Simple and extended protocol of a session.

use std::fmt::Debug;
use std::sync::Arc;

use async_trait::async_trait;
use futures::Sink;
use pgwire::api::portal::{Format, Portal};
use pgwire::api::query::{ExtendedQueryHandler, SimpleQueryHandler};
use pgwire::api::results::{
    DescribePortalResponse, DescribeStatementResponse, FieldInfo, Response,
};
use pgwire::api::stmt::{QueryParser, StoredStatement};
use pgwire::api::store::PortalStore;
use pgwire::api::{ClientInfo, ClientPortalStore, Type};
use pgwire::error::{PgWireError, PgWireResult};
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::response::TransactionStatus;

use super::answer;
use super::member::Member;
use super::row::{self, error};
use super::session::{Session, Transaction};
use super::sql::{self, Kind};

/// Statement as the extended protocol keeps it.
#[derive(Clone, Debug)]
pub(crate) struct Prepared {
    statement: sql::Statement,
    types: Vec<Type>,
}

impl Session {
    async fn schema(&self, target: &Prepared, format: &Format) -> PgWireResult<Vec<FieldInfo>> {
        match &target.statement.kind {
            Kind::Control(name, _) => Ok(answer::control_schema(name, format)),
            Kind::Show(name) => Ok(vec![answer::show_field(name, format)]),
            Kind::Plain => {
                let open = self.transaction.lock().await;
                let writing = open.as_ref().is_some_and(|open| open.write.is_some());
                let store = self.member.store().lock();
                let database = if writing { store.head() } else { store.view() };
                row::schema(database, &target.statement, format)
            }
            _ => Ok(Vec::new()),
        }
    }

    /// Makes a failed COMMIT report no transaction.
    fn close_failed<C>(
        client: &mut C,
        open: Option<&Transaction>,
        mut responses: Vec<Response>,
    ) -> PgWireResult<Vec<Response>>
    where
        C: ClientInfo,
    {
        let began = |response: &Response| matches!(response, Response::TransactionStart(_));
        let reported = client.transaction_status() != TransactionStatus::Idle;
        if open.is_some() || !(reported || responses.iter().any(began)) {
            return Ok(responses);
        }
        match responses.pop() {
            Some(Response::Error(info)) => {
                client.set_transaction_status(TransactionStatus::Idle);
                Err(PgWireError::UserError(info))
            }
            last => {
                responses.extend(last);
                Ok(responses)
            }
        }
    }
}

#[async_trait]
impl SimpleQueryHandler for Session {
    async fn do_query<C>(&self, client: &mut C, query: &str) -> PgWireResult<Vec<Response>>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let mut open = self.transaction.lock().await;
        let statements = sql::parse(query).map_err(|message| error("42601", message))?;
        if statements.is_empty() {
            return Ok(vec![Response::EmptyQuery]);
        }
        let responses = self.run_all(&mut open, &statements).await;
        Self::close_failed(client, open.as_ref(), responses)
    }
}

#[async_trait]
impl ExtendedQueryHandler for Session {
    type Statement = Arc<Prepared>;
    type QueryParser = Parser;

    fn query_parser(&self) -> Arc<Parser> {
        Arc::new(Parser {
            member: Arc::clone(&self.member),
        })
    }

    async fn do_query<C>(
        &self,
        client: &mut C,
        portal: &Portal<Self::Statement>,
        _max_rows: usize,
    ) -> PgWireResult<Response>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore<Statement = Self::Statement>,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let mut open = self.transaction.lock().await;
        let prepared = &portal.statement.statement;
        let values = row::values(portal, &prepared.types)?;
        let format = &portal.result_column_format;
        let result = self
            .run(&mut open, &prepared.statement, values, format)
            .await;
        if result.is_err() && open.is_none() {
            client.set_transaction_status(TransactionStatus::Idle);
        }
        result
    }

    async fn do_describe_statement<C>(
        &self,
        _client: &mut C,
        target: &StoredStatement<Self::Statement>,
    ) -> PgWireResult<DescribeStatementResponse>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore<Statement = Self::Statement>,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let prepared = &target.statement;
        let given = |index: usize| target.parameter_types.get(index).cloned().flatten();
        let count = prepared.types.len().max(target.parameter_types.len());
        let types = (0..count).map(|index| {
            let given = given(index).filter(|found| *found != Type::UNKNOWN);
            let found = given.or_else(|| prepared.types.get(index).cloned());
            found.unwrap_or(Type::TEXT)
        });
        let fields = self.schema(prepared, &Format::UnifiedText).await?;
        Ok(DescribeStatementResponse::new(types.collect(), fields))
    }

    async fn do_describe_portal<C>(
        &self,
        _client: &mut C,
        target: &Portal<Self::Statement>,
    ) -> PgWireResult<DescribePortalResponse>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::PortalStore: PortalStore<Statement = Self::Statement>,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let format = &target.result_column_format;
        let fields = self.schema(&target.statement.statement, format).await?;
        Ok(DescribePortalResponse::new(fields))
    }
}

/// Parser of the extended protocol.
#[derive(Debug)]
pub(crate) struct Parser {
    member: Arc<Member>,
}

#[async_trait]
impl QueryParser for Parser {
    type Statement = Arc<Prepared>;

    async fn parse_sql<C>(
        &self,
        _client: &C,
        query: &str,
        _types: &[Option<Type>],
    ) -> PgWireResult<Option<Self::Statement>>
    where
        C: ClientInfo + Unpin + Send + Sync,
    {
        let mut statements = sql::parse(query).map_err(|message| error("42601", message))?;
        if statements.len() > 1 {
            let message = "cannot insert multiple commands into a prepared statement";
            return Err(error("42601", message));
        }
        Ok(statements.pop().map(|statement| {
            let store = self.member.store().lock();
            let types = row::parameter_types(store.head(), &statement);
            Arc::new(Prepared { statement, types })
        }))
    }

    fn get_parameter_types(&self, statement: &Self::Statement) -> PgWireResult<Vec<Type>> {
        Ok(statement.types.clone())
    }

    fn get_result_schema(
        &self,
        _statement: &Self::Statement,
        _format: Option<&Format>,
    ) -> PgWireResult<Vec<FieldInfo>> {
        Ok(Vec::new())
    }
}
