// Package ownership selects the daemons that own an attempt or a session, and tells what changes as daemons come and
// go. It is pure: it decides by a view of the membership, and keeps nothing.
//
// Each key has two owners by rendezvous hashing over the daemons in contact (affinity.Owners). Daemons may differ in
// whom they are in contact with, and an owner may be lost, so the owners of an attempt are selected such that whoever
// queries later either reaches a live owner that has the record, or finds that none of those it reaches would know:
// the answer is uncertain then, and never wrong. Of two sides of a network partition, at most one may go on with
// attempts that must not run twice.
//
// The daemon package queries the owners, and transfers what they remember.
package ownership
