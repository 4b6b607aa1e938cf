//! Return of connections to their pools, with the rollback of the transactions that are open on them.

use std::rc::Rc;

use coord::session::TransactionState;
use coord::stop_schedule::StopPhase;
use telemetry::event::LogEvent;
use telemetry::log_event;
use tokio::time::timeout;

use crate::connection_acquire::team_hash;
use crate::connection_owner::{CLEANUP_TIMEOUT, CallOrigin};
use crate::endpoint_connection::{AnswerKind, EndpointConnection};
use crate::instance::{EngineTypes, GatewayInstance};
use crate::interface::{ControlStatement, WireCodec};
use crate::message::ExecuteCall;
use crate::pool::{EndpointPool, IdleConnection, PooledConnection};

impl<E: EngineTypes> GatewayInstance<E> {
    /// Rolls back the open transactions of peers that run no statement.
    pub(crate) fn release_peer_transactions(self: &Rc<Self>) {
        let pinned = self.pools.pinned.borrow();
        let of_peers: Vec<_> = pinned.keys().filter(|key| key.0 != 0).copied().collect();
        drop(pinned);
        for (origin, transaction_id) in of_peers {
            self.release_locally(origin, transaction_id);
        }
    }

    /// Rolls a transaction back and returns its connection to the pool, at once or after the statement
    /// that it runs.
    pub fn release_locally(self: &Rc<Self>, origin: CallOrigin, transaction_id: u32) {
        let key = (origin, transaction_id);
        if let Some(is_released) = self.pools.running.borrow_mut().get_mut(&key) {
            *is_released = true;
        }
        let pinned = self.pools.pinned.borrow_mut().remove(&key);
        if let Some(pinned) = pinned {
            self.roll_back(pinned);
        }
    }

    /// Unregisters a closed peer connection and rolls back its open transactions.
    pub fn unregister_origin(self: &Rc<Self>, origin: CallOrigin) {
        self.pools.live_origins.borrow_mut().remove(&origin);
        let transactions: Vec<(CallOrigin, u32)> =
            self.pools.pinned.borrow().keys().filter(|key| key.0 == origin).copied().collect();
        for (_, transaction_id) in transactions {
            self.release_locally(origin, transaction_id);
        }
    }

    /// Closes the connections to an endpoint whose zone is closed, which rolls back its open
    /// transactions.
    pub(crate) fn close_connections(&self, pool: &Rc<EndpointPool>) {
        let idle: Vec<IdleConnection> = pool.idle.borrow_mut().drain(..).collect();
        let mut pinned = self.pools.pinned.borrow_mut();
        let rolled_back: Vec<PooledConnection> = pinned
            .extract_if(|_, pooled| Rc::ptr_eq(&pooled.pool, pool))
            .map(|(_, pooled)| pooled)
            .collect();
        drop(pinned);
        if !rolled_back.is_empty() {
            log_event!(
                LogEvent::TransactionsEvacuated,
                "endpoint={} transactions={}",
                pool.endpoint,
                rolled_back.len()
            );
        }
        let pinned = rolled_back.into_iter().map(|pooled| pooled.connection);
        for connection in idle.into_iter().map(|idle| idle.connection).chain(pinned) {
            pool.close_connection(connection);
        }
    }

    /// Pins a connection to its transaction, or returns it to the pool, after a rollback if needed.
    pub(crate) fn recycle_connection(
        self: &Rc<Self>,
        pool: &Rc<EndpointPool>,
        origin: CallOrigin,
        call: &ExecuteCall,
        connection: EndpointConnection,
        state: TransactionState,
        has_failed: bool,
    ) {
        let mut pooled = PooledConnection { pool: pool.clone(), connection };
        // A failed statement may leave the transaction open at the endpoint, but its session
        // abandons it.
        let key = (origin, call.transaction_id);
        let is_ended = origin != 0 && self.has_stop_reached(StopPhase::Answering);
        let is_released = self.pools.running.borrow().get(&key).copied().unwrap_or(false);
        let is_abandoned = is_ended || is_released || !self.pools.is_live_origin(origin);
        match state {
            TransactionState::Open if call.keep_pinned && !has_failed && !is_abandoned => {
                self.pools.pinned.borrow_mut().insert(key, pooled);
            }
            TransactionState::Idle => {
                pooled.connection.setup.end_transaction(!call.keep_pinned && !has_failed);
                self.return_idle(pooled);
            }
            TransactionState::Open | TransactionState::Failed => self.roll_back(pooled),
        }
    }

    /// Returns the connection of a call that was not sent; its session abandons an open transaction.
    pub(crate) fn recycle_unsent(
        self: &Rc<Self>,
        pool: &Rc<EndpointPool>,
        call: &ExecuteCall,
        connection: EndpointConnection,
    ) {
        let pooled = PooledConnection { pool: pool.clone(), connection };
        if call.pinned {
            self.roll_back(pooled);
        } else {
            self.return_idle(pooled);
        }
    }

    /// Returns a connection to its pool.
    fn return_idle(&self, pooled: PooledConnection) {
        let PooledConnection { pool, connection } = pooled;
        let (idle_since, team_hash) = (self.now(), team_hash(connection.team()));
        pool.idle.borrow_mut().push(IdleConnection { team_hash, connection, idle_since });
        pool.freed.borrow_mut().record(idle_since);
        pool.connection_freed.notify_one();
    }

    /// Rolls back on a connection and returns it to its pool, or closes it if that fails.
    pub(crate) fn roll_back(self: &Rc<Self>, mut pooled: PooledConnection) {
        if self.is_closed(&pooled.pool.endpoint) {
            // The endpoint rolls back when the connection closes; no statement may be sent to it.
            pooled.pool.close_connection(pooled.connection);
            return;
        }
        let instance = self.clone();
        tokio::task::spawn_local(async move {
            pooled.pool.charge_cold(instance.now());
            let mut bytes = Vec::new();
            E::Codec::encode_control(&mut bytes, ControlStatement::Rollback);
            let rolled_back = async {
                pooled.connection.send(&bytes).await.ok()?;
                let answer =
                    pooled.connection.read_answer::<E::Codec>(AnswerKind::Control).await.ok()?;
                (answer.state == TransactionState::Idle).then_some(())
            };
            match timeout(CLEANUP_TIMEOUT, rolled_back).await {
                Ok(Some(())) => {
                    pooled.connection.setup.end_transaction(false);
                    instance.return_idle(pooled);
                }
                Ok(None) | Err(_) => pooled.pool.close_connection(pooled.connection),
            }
        });
    }
}
