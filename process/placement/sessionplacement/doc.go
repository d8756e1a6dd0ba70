// Package sessionplacement decides which engine of the spec holds which model and adapter, and orders it.
//
// [Planner] is a pure step over the spec, the demand, the sessions' assignments and the engines' reports. It settles the
// orders that reports tell of, lists what is asked for and stands on too few engines, the highest worth first, and gives
// at most one order for each: a load where there is room, else an unload of what is worth less. Loads keep to the pace
// of the store. [Actor] holds the claim to order, stamps the orders and sends them.
package sessionplacement
