// Package admission shares out the slots of engines. Each engine has one keeper among the routing daemons; the others
// ask it before an attempt is sent, so that bids are compared over the whole fleet and an engine is not sent more than
// it can run.
package admission
