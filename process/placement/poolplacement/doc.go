// Package poolplacement decides which engine of a pool loads which models and adapters, and orders it.
//
// [Planner] is a pure step over the catalogue, the registered engines, the demand of the fleet and the engines'
// reports. A step ([Planner.Step]) takes over the configuration (catalogue.go), the engines (plan.go), the demand
// (demand.go) and the observations of engines (outliers.go). Then, for each pool (survey.go), in this order:
//
//  1. engines that are evicting for something get their next order, since that capacity is already spoken for;
//  2. models with queued requests and no replica, and those severely short of replicas (models.go);
//  3. adapters (adapters.go), which are cheap and would otherwise wait for engines that load models;
//  4. all other models.
//
// What one more replica gains, and what an eviction costs, is in requests a second (value.go).
//
// Invariants: an engine has at most one pending order; its capacity is never exceeded, counting what is reported,
// ordered, or perhaps ordered; loads from the store keep to its rate limit in every sliding window, over changes of the
// planner too (loadwindow.go, [Planner.Inherit]); an order is resolved only by a report that can reflect it (orders.go,
// reports.go); equal histories give equal plans.
//
// [Actor] owns the Planner. It holds the planner's lease, requests the reports, announces orders to the group before they
// are sent, stamps them with minted ids, and publishes the plan to the fleet (publish.go).
package poolplacement
