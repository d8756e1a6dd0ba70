// Package contract tests the protocol on both sides of the platform: clients at a router, and engines behind it, over real
// sockets, against the program as it is deployed.
package contract
