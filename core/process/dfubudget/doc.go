// Package dfubudget limits the cost of measurement traffic in bytes and calls,
// and the number of retries and hedges.
//
// A budget is charged before the cost is incurred; if the charge is refused,
// the message must not be sent. Budgets hold no clock: the current time is
// passed to each call.
package dfubudget
