// Package tenantquota runs the cores of package quota in a daemon: Limiter on each daemon that routes, Allotter on each
// that may lead the control group.
//
// A request of a limited tenant calls Limiter.Take on its own goroutine and waits there for the decision, which needs a call
// to the leader only where no token is at hand. One call is on its way at a time and carries all that waits by then. Package
// daemon makes both and connects them by the peer protocol.
package tenantquota
