// Package discovery is what this daemon knows of the engines: the platform's list, their reports, and
// who is leaving. It is kept by one actor and read through one pointer.
package discovery
