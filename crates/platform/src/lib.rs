//! Clients of the platform's services and of database groups.
