//! Settings of the administration API.

use std::net::SocketAddr;
use std::str::FromStr;

use clap::Args;
use state::credential::KeyHash;

/// Operator that the API authenticates by a bearer token.
#[derive(Clone, Debug)]
pub struct OperatorCredential {
    /// Name of the operator.
    pub name: String,
    /// Salted hash of the operator's token.
    pub token_hash: KeyHash,
}

impl FromStr for OperatorCredential {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (name, hash) = text.split_once('=').ok_or("expected NAME=sha256$SALT$DIGEST")?;
        let hash = hash.parse().map_err(|error| format!("{error}"))?;
        Ok(Self { name: name.to_owned(), token_hash: hash })
    }
}

/// Settings of the administration API.
#[derive(Args, Clone, Debug)]
pub struct AdminSettings {
    /// Address that the API listens on.
    #[arg(long, env = "HIBISCUS_ADMIN_LISTEN", default_value = "127.0.0.1:6434")]
    pub listen: SocketAddr,
    /// Environment whose document the API changes.
    #[arg(long, env = "HIBISCUS_ENVIRONMENT", default_value = "production")]
    pub environment: String,
    /// Environment whose documents may be promoted into this one; without it, documents are applied
    /// directly.
    #[arg(long, env = "HIBISCUS_PROMOTE_FROM")]
    pub promote_from: Option<String>,
    /// Base URL of the platform's services.
    #[arg(long, env = "HIBISCUS_PLATFORM")]
    pub platform: String,
    /// Name of an operator and the salted hash of its token, NAME=sha256$SALT$DIGEST; repeatable.
    #[arg(long = "operator", env = "HIBISCUS_OPERATORS", value_delimiter = ',')]
    pub operators: Vec<OperatorCredential>,
}
