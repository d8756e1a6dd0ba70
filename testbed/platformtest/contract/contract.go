// Package contract holds the tests of what is spoken on both sides of the platform: clients at a router's
// front, engines behind it, over real sockets, against the program as it is deployed.
package contract
