// Package raft is the agreement core of the worker-id group: a pure state machine that is
// stepped by events and answers with effects. It owns no clock, disk or socket.
package raft
