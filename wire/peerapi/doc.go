// Package peerapi holds the messages and the twirp service that daemons speak among themselves, generated from
// fellow.proto, and the translation of raft's messages to and from them.
package peerapi
