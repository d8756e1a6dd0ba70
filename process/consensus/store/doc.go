// Package store keeps a member's log, vote and snapshot in SQLite. Nothing it has written counts
// until the write is synced; it uses the rollback journal, since the index of its write-ahead log lies in memory that processes map together.
package store
