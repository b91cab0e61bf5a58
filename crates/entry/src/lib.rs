//! Entry host: PostgreSQL to callers and backend servers.
