// Package peerapi holds the messages and the twirp service that daemons speak among themselves, generated from peer.proto
// ("make generate"). It lies below process/ and imports nothing of it; process/cluster/raftcodec converts raft's messages.
//
// The service is named Fellow, and some of its methods (Seat, Permit, Recall, Remember) and their request messages keep
// their first names: they are twirp paths, and daemons of two builds form one fleet. compatibility_test.go compares paths,
// field numbers, types and encoded bytes with testdata/wire.txt.
package peerapi
