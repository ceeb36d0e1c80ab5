//! Operator calls over Cap'n Proto RPC: the server that each process runs to
//! answer for its own state, and the client that the commands `status` and
//! `report` use.
//!
//! Calls are read-only and therefore not authenticated. The number of
//! connections, the size of messages and the duration of calls are limited.

use std::future::Future;
use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use capnp::message::ReaderOptions;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use futures::AsyncReadExt;
use futures::future;
use quick_error::quick_error;
use ramp_protocol::codec::CodecError;
use ramp_protocol::operator::Document;
use ramp_protocol::operator::Status;
use ramp_protocol::operator_capnp::operator;
use ramp_protocol::operator_codec;
use ramp_protocol::summary_codec;
use ramp_state::key::Version;
use ramp_state::ledger::summary::Summary;
use ramp_state::ledger::summary::Window;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time;
use tokio_util::compat::TokioAsyncReadCompatExt;

/// Maximum number of operator connections that a process has open; further ones
/// are closed at once.
pub const MAX_CONNECTIONS: usize = 16;

/// Time after which an operator connection is closed, idle or not.
pub const CONNECTION_TIMEOUT: Duration = Duration::from_secs(30);

/// Delay after a failed accept, so that the loop does not spin while the process
/// has no file descriptors left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Largest call that the server reads, in words of 8 bytes. Calls are small.
const MAX_CALL_WORDS: usize = 1024;

/// Largest reply that the client reads, in words of 8 bytes. It leaves room for
/// a fleet document of more than a megabyte.
const MAX_REPLY_WORDS: usize = 1024 * 1024;

/// Maximum depth of nested pointers in a received message.
const MAX_NESTING_DEPTH: i32 = 32;

quick_error! {
    /// Why an operator call failed.
    #[derive(Debug)]
    pub enum RpcError {
        /// The process can't be reached.
        Io(err: io::Error) {
            display("{}", err)
            from()
        }
        /// The process returned an error, or the connection broke.
        Call(err: capnp::Error) {
            display("call failed: {}", err)
            from()
        }
        /// The reply can't be decoded.
        Codec(err: CodecError) {
            display("{}", err)
            from()
        }
        /// No complete reply came within this limit.
        Timeout(limit: Duration) {
            display("no answer within {} ms", limit.as_millis())
        }
    }
}

/// Source of the replies to operator calls. Its methods run on the control
/// thread, so they must not block.
pub trait OperatorSource {
    /// Current state of the process.
    fn status(&self) -> Status;

    /// Counts of its ledger over `window`.
    fn ledger(&self, window: Window) -> Summary;

    /// Fleet document in force; none until the first one is installed.
    fn document(&self) -> Option<Document>;
}

/// Answers operator calls on `listener` until dropped. Must run in a
/// `LocalSet`.
pub async fn serve(listener: TcpListener, source: impl OperatorSource + 'static) {
    let source = Rc::new(source);
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let (stream, from) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(err) => {
                log::warn!("operator call not accepted: {err}");
                time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            metrics::counter!("operator_connections_refused_total").increment(1);
            continue;
        };
        metrics::counter!("operator_connections_total").increment(1);
        let source = Rc::clone(&source);
        tokio::task::spawn_local(async move {
            let _permit = permit;
            if let Ok(Err(err)) =
                time::timeout(CONNECTION_TIMEOUT, serve_connection(stream, source)).await
            {
                log::debug!("operator connection from {from} ended: {err}");
            }
        });
    }
}

/// Replies of one process that a report is made from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProcessReport {
    /// State of the process.
    pub status: Status,
    /// Counts of its ledger: one summary for each requested window, in the order
    /// of the request.
    pub summaries: Vec<Summary>,
}

/// Asks the process at `address` for its state.
///
/// # Errors
///
/// [`RpcError`] when no valid reply comes within `limit`.
pub async fn fetch_status(address: SocketAddrV4, limit: Duration) -> Result<Status, RpcError> {
    call(address, limit, request_status).await
}

/// Asks the process at `address` for the counts of its ledger over `window`.
///
/// # Errors
///
/// [`RpcError`] when no valid reply comes within `limit`.
pub async fn fetch_ledger(
    address: SocketAddrV4,
    window: Window,
    limit: Duration,
) -> Result<Summary, RpcError> {
    call(address, limit, |client| request_ledger(client, window)).await
}

/// Asks the process at `address` for the fleet document in force; none when
/// it has none.
///
/// # Errors
///
/// [`RpcError`] when no valid reply comes within `limit`.
pub async fn fetch_document(
    address: SocketAddrV4,
    limit: Duration,
) -> Result<Option<Document>, RpcError> {
    call(address, limit, request_document).await
}

/// Asks the process at `address` for its state and for the counts of its ledger
/// over each of `windows`, over one connection.
///
/// # Errors
///
/// [`RpcError`] when not all replies come within `limit`.
pub async fn fetch_process_report(
    address: SocketAddrV4,
    windows: Vec<Window>,
    limit: Duration,
) -> Result<ProcessReport, RpcError> {
    call(address, limit, |client| {
        request_process_report(client, windows)
    })
    .await
}

async fn serve_connection(
    stream: TcpStream,
    source: Rc<impl OperatorSource + 'static>,
) -> capnp::Result<()> {
    stream.set_nodelay(true)?;
    let client: operator::Client = capnp_rpc::new_client(OperatorServer { source });
    rpc_system(stream, Side::Server, MAX_CALL_WORDS, Some(client)).await
}

async fn call<T, F>(
    address: SocketAddrV4,
    limit: Duration,
    request: impl FnOnce(operator::Client) -> F,
) -> Result<T, RpcError>
where
    F: Future<Output = Result<T, RpcError>>,
{
    let exchange = async {
        let stream = TcpStream::connect(address).await?;
        // Calls and replies are small, and each waits for the one before it:
        // Nagle's algorithm would only delay them.
        stream.set_nodelay(true)?;
        let mut system = rpc_system(stream, Side::Client, MAX_REPLY_WORDS, None);
        let client: operator::Client = system.bootstrap(Side::Server);
        tokio::select! {
            reply = request(client) => reply,
            ended = system => Err(ended.err().unwrap_or_else(connection_closed).into()),
        }
    };
    let Ok(reply) = time::timeout(limit, exchange).await else {
        return Err(RpcError::Timeout(limit));
    };
    reply
}

fn connection_closed() -> capnp::Error {
    capnp::Error::disconnected("connection closed".to_string())
}

fn rpc_system(
    stream: TcpStream,
    side: Side,
    limit_words: usize,
    bootstrap: Option<operator::Client>,
) -> RpcSystem<Side> {
    let mut options = ReaderOptions::new();
    options
        .traversal_limit_in_words(Some(limit_words))
        .nesting_limit(MAX_NESTING_DEPTH);
    let (read, write) = stream.compat().split();
    let network = VatNetwork::new(read, write, side, options);
    RpcSystem::new(Box::new(network), bootstrap.map(|c| c.client))
}

async fn request_status(client: operator::Client) -> Result<Status, RpcError> {
    let reply = client.status_request().send().promise.await?;
    let status = reply.get()?.get_status()?;
    Ok(operator_codec::read_status(status)?)
}

async fn request_ledger(client: operator::Client, window: Window) -> Result<Summary, RpcError> {
    let mut req = client.ledger_request();
    summary_codec::write_window(req.get().init_window(), window);
    let reply = req.send().promise.await?;
    let summary = reply.get()?.get_summary()?;
    Ok(summary_codec::read_summary(summary)?)
}

async fn request_document(client: operator::Client) -> Result<Option<Document>, RpcError> {
    let reply = client.document_request().send().promise.await?;
    let document = reply.get()?;
    if !document.get_known() {
        return Ok(None);
    }
    let text = document.get_text()?.to_string().map_err(CodecError::from)?;
    Ok(Some(Document {
        version: Version(document.get_config()),
        text,
    }))
}

async fn request_process_report(
    client: operator::Client,
    windows: Vec<Window>,
) -> Result<ProcessReport, RpcError> {
    let status = request_status(client.clone());
    let summaries = windows
        .into_iter()
        .map(|window| request_ledger(client.clone(), window));
    let (status, summaries) = future::try_join(status, future::try_join_all(summaries)).await?;
    Ok(ProcessReport { status, summaries })
}

/// Answers the calls of one connection.
struct OperatorServer<S> {
    source: Rc<S>,
}

impl<S: OperatorSource + 'static> operator::Server for OperatorServer<S> {
    async fn status(
        self: Rc<Self>,
        _: operator::StatusParams,
        mut results: operator::StatusResults,
    ) -> capnp::Result<()> {
        let status = self.source.status();
        operator_codec::write_status(results.get().init_status(), &status);
        Ok(())
    }

    async fn ledger(
        self: Rc<Self>,
        params: operator::LedgerParams,
        mut results: operator::LedgerResults,
    ) -> capnp::Result<()> {
        let window = summary_codec::read_window(params.get()?.get_window()?);
        let summary = self.source.ledger(window);
        summary_codec::write_summary(results.get().init_summary(), &summary);
        Ok(())
    }

    async fn document(
        self: Rc<Self>,
        _: operator::DocumentParams,
        mut results: operator::DocumentResults,
    ) -> capnp::Result<()> {
        let document = self.source.document();
        let mut builder = results.get();
        builder.set_known(document.is_some());
        if let Some(document) = document {
            builder.set_config(document.version.0);
            builder.set_text(&document.text);
        }
        Ok(())
    }
}
