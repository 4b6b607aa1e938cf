//! gRPC service between instances, generated from `proto/peer.proto` by the codegen program.

#![allow(missing_docs, clippy::all)]

include!("gen/hibiscus.peer.rs");
