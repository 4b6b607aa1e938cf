//! Statements about the replication of a member.

/// Statement that changes whether a replica receives commits; it is answered with the status.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplicationStatement {
    /// Stops a replica from receiving until it is resumed, its service has a new leader or it
    /// restarts.
    Hold {
        /// Term of the hold, which must be above all terms that the replica knows.
        term: u64,
    },
    /// Ends a hold.
    Resume,
    /// Makes a leader of a lower term a replica.
    Demote {
        /// Term above that of the leader.
        term: u64,
    },
}

/// Encoding of the statements about replication in the protocol of the members.
pub trait ReplicationCodec: 'static {
    /// Appends a statement.
    fn encode_replication(out: &mut Vec<u8>, statement: ReplicationStatement);
}
