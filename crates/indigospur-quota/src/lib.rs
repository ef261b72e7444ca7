//! Quotas of workspaces over all hosts.
