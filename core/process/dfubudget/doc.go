// Package dfubudget bounds what a node spends: bytes and calls on measuring,
// and attempts on retries and hedges.
//
// Every budget is charged before the cost is incurred; a refused charge means
// that the message isn't sent. Budgets are pure: they refill by the time that
// they are told, and hold no clock.
package dfubudget
