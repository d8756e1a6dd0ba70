// Package registry keeps the engines that register themselves: soft state that every control daemon hears
// a part of, and that spreads over the fleet as differences.
package registry
