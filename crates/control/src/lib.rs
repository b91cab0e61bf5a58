//! Controllers: authority, promotion, membership, budgets, configuration.
