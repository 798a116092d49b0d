package dfubudget

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

// The bounds and parameters of a retry budget.
const (
	// MaxCallers bounds the callers that are accounted for apart.
	MaxCallers = 4096
	// MaxServices bounds the services that have savings.
	MaxServices = 512
	// retryPercent is how many retries a hundred requests earn.
	retryPercent = 10
	// retryCost is the price of a retry in the unit that requests earn.
	retryCost = 100
	// retryReserve is how many retries a caller may save up.
	retryReserve = 10
)

// Allowance is how many more attempts the whole call tree below a request may
// make. It travels with the request. An extra attempt carries one less than
// the first, so a tree of depth d costs at most d+1 attempts on a path with an
// allowance of one, in place of 2^d.
type Allowance uint8

// Extra returns the allowance that an extra attempt carries, and whether it
// may be made. An attempt that already was retried further down is not made
// again: retriedBelow comes with the failed answer.
func (a Allowance) Extra(retriedBelow bool) (Allowance, bool) {
	if a == 0 || retriedBelow {
		return 0, false
	}
	return a - 1, true
}

// RetryBudget bounds retries and hedges to a share of the requests, for a
// service as a whole and for each of its callers.
type RetryBudget struct {
	services map[dfuident.Service]*int
	callers  map[callerAccount]*int
	// order holds the callers' accounts from the oldest, for eviction.
	order []callerAccount
}

// callerAccount names one caller of one service.
type callerAccount struct {
	service dfuident.Service
	caller  dfuident.Caller
}

// NewRetryBudget returns a budget without savings.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{services: map[dfuident.Service]*int{}, callers: map[callerAccount]*int{}}
}

// Earn notes a first attempt.
func (r *RetryBudget) Earn(_ dfuclock.Time, service dfuident.Service, caller dfuident.Caller, _ bool) {
	for _, saved := range r.accounts(service, caller) {
		*saved = min(*saved+retryPercent, retryReserve*retryCost)
	}
}

// Take charges an extra attempt, and reports whether it may be sent.
func (r *RetryBudget) Take(_ dfuclock.Time, service dfuident.Service, caller dfuident.Caller) bool {
	accounts := r.accounts(service, caller)
	for _, saved := range accounts {
		if *saved < retryCost {
			return false
		}
	}
	for _, saved := range accounts {
		*saved -= retryCost
	}
	return true
}

// accounts returns the savings that pay for a caller's attempt. Accounts open
// with one retry. The service's own account holds the total when callers
// change their names. A service beyond MaxServices has no savings.
func (r *RetryBudget) accounts(service dfuident.Service, caller dfuident.Caller) [2]*int {
	own := r.services[service]
	if own == nil {
		own = new(int)
		if len(r.services) < MaxServices {
			*own = retryCost
			r.services[service] = own
		}
	}
	return [2]*int{own, r.callerSavings(callerAccount{service, caller})}
}

// callerSavings returns the savings of a caller. The oldest account gives way
// to a new one.
func (r *RetryBudget) callerSavings(a callerAccount) *int {
	if saved := r.callers[a]; saved != nil {
		return saved
	}
	if len(r.order) >= MaxCallers {
		delete(r.callers, r.order[0])
		r.order = r.order[1:]
	}
	saved := new(int)
	*saved = retryCost
	r.callers[a] = saved
	r.order = append(r.order, a)
	return saved
}
