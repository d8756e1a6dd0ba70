// Package store keeps the persistent state of one Raft member (section 3.3 of the Raft thesis: term, vote, log, and the
// snapshot of chapter 5) in a data folder. The driver of the member, process/consensus/replica, is its only writer.
//
// # Data folder
//
//   - lock: held with flock while the folder is open; two processes on one folder would be one member twice.
//   - member.sqlite, member.sqlite-journal: the database, in three tables. meta holds named values (member, form, group,
//     term, vote), log the entries, snapshot at most one row.
//   - aside-N.member.sqlite: databases that were quarantined. setting-aside exists while that is in progress.
//   - probe: exists while CheckWritable runs.
//
// # Durability
//
// Write puts a raft.Save on disk in one transaction and returns when it is synced: a crash or power loss leaves the state
// before or after it. SQLite runs with synchronous=EXTRA and the rollback journal, not with a write-ahead log: the index
// of that lies in memory that processes map together.
//
// # Damage
//
// SQLite does not detect a changed bit in a row, so that each row carries a checksum. Load also checks that log and
// snapshot are one history. IsDamaged tells a folder that can never be used again from an error that may pass, such as a
// full disk. Only a damaged folder may be quarantined: the machine then joins the group as a new member, which has given
// no votes and acknowledged no entries.
package store
