// Package bfbudget limits repeats, which are retries and the nested calls that retried
// requests make. All nodes of a fleet share one budget of repeats for each service, and
// each node spends its part of it without communication.
//
// A request that runs again makes its nested calls again, and those count as repeats at
// the services that they go to. So a retry is admitted twice: where the request entered,
// by the budget of its own service, and at the node of the target that is to run it, by
// the budgets of the services that its nested calls go to. That node sends the nested
// calls, so it observes how many a run makes, and spends its own budget on them.
//
// The package does no I/O: callers pass in what they observe.
package bfbudget
