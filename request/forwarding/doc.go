// Package forwarding is the way of opaque requests through a routing daemon: which engine serves one, who
// waits, what may be tried again, and the final answer. The core is pure; the actor beside it has the I/O.
package forwarding
