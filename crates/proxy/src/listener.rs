//! Accepts callers' connections and runs their sessions.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::BytesMut;
use net::socket::FramedSocket;
use telemetry::event::LogEvent;
use telemetry::log_event;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};
use wire::backend;
use wire::refusal::{RefusalReason, RequestRefusal};

use crate::instance::{InstancePhase, ProxyInstance};
use crate::session::CallerSession;
use crate::startup::{self, AuthenticatedCaller, StartupEnd};

/// Pause after accepting a connection has failed.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Decrements the number of connected callers on drop.
struct CallerGuard(Arc<ProxyInstance>);

impl Drop for CallerGuard {
    fn drop(&mut self) {
        self.0.callers.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Accepts callers until the instance drains.
pub async fn serve(listener: TcpListener, instance: Arc<ProxyInstance>) {
    let mut phases = instance.phases();
    // Sessions are aborted when this task is dropped, as if the process had been killed.
    let mut sessions = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phases.wait_for(|phase| *phase >= InstancePhase::Draining) => break,
        };
        match accepted {
            Ok((stream, _)) => {
                sessions.spawn(serve_caller(stream, instance.clone()));
                while sessions.try_join_next().is_some() {}
            }
            Err(_) => sleep(ACCEPT_BACKOFF).await,
        }
    }
    // New connections are refused from here on. The task never ends by itself, since its end would
    // abort the open sessions.
    drop(listener);
    std::future::pending::<()>().await;
}

async fn serve_caller(stream: TcpStream, instance: Arc<ProxyInstance>) {
    let caller_count = instance.callers.fetch_add(1, Ordering::Relaxed);
    let _guard = CallerGuard(instance.clone());
    let mut socket = FramedSocket::new(stream, instance.settings.max_message_bytes);
    if caller_count >= instance.settings.max_callers {
        let reason = RefusalReason::TooManyCallers;
        let refusal = RequestRefusal::new(reason, "the instance serves as many callers as it may");
        return send_refusal(&mut socket, &instance, &refusal).await;
    }
    // Boxed, so that an idle session does not hold the memory of its startup.
    match Box::pin(run_startup(&mut socket, &instance)).await {
        Ok(caller) => {
            log_event!(
                LogEvent::SessionOpened,
                "process={}",
                caller.cancel_registration.process_id()
            );
            if let Some(session) = CallerSession::new(socket, instance, caller) {
                session.run().await;
            }
        }
        Err(StartupEnd::Refused(refusal)) => send_refusal(&mut socket, &instance, &refusal).await,
        Err(StartupEnd::NoSession) => {}
    }
}

async fn run_startup(
    socket: &mut FramedSocket,
    instance: &Arc<ProxyInstance>,
) -> Result<AuthenticatedCaller, StartupEnd> {
    let startup_timeout = instance.settings.startup_timeout;
    match timeout(startup_timeout, startup::run(socket, instance)).await {
        Ok(result) => result,
        Err(_) => {
            let detail = format!("startup took longer than {} ms", startup_timeout.as_millis());
            let refusal = RequestRefusal::new(RefusalReason::StartupTimeout, detail);
            Err(StartupEnd::Refused(refusal))
        }
    }
}

async fn send_refusal(
    socket: &mut FramedSocket,
    instance: &ProxyInstance,
    refusal: &RequestRefusal,
) {
    instance.counters.record_refusal(refusal.reason);
    log_event!(LogEvent::RequestRefused, "reason={} at startup", refusal.reason.label());
    let mut output = BytesMut::new();
    backend::put_refusal(&mut output, refusal, true);
    if socket.write(&output).await.is_ok() {
        socket.shutdown().await;
    }
}
