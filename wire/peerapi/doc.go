// Package peerapi holds the messages and the twirp service that daemons speak among themselves, generated from
// peer.proto.
package peerapi
