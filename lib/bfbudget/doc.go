// Package bfbudget decides which requests are sent once more, where all nodes of a
// fleet share one budget of such repeats for each service and never ask each other.
//
// A request that runs again makes its nested calls again, and those count as repeats
// at the services that they go to. So a repeat is decided twice: where the request
// began, by the budget of its own service, and at the node of the target that is to
// run it, by the budgets of the services that its calls go to. The node of a target
// makes those calls, sees how many a run makes, and holds the budget that pays them.
//
// It knows no connection and no request: those who ask bring what they observed.
package bfbudget
