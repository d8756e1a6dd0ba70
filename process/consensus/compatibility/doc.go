// Package compatibility holds data folders that an earlier build wrote, and the tests that prove that the present
// code still reads them: the store's tables, the commands in the log and the replicated state in the snapshot.
package compatibility
