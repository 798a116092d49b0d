package dfubudget

import (
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
)

// Limits and parameters of retry budgets.
const (
	// MaxCallers limits the callers with their own accounts.
	MaxCallers = 4096
	// MaxServices limits the services with their own accounts.
	MaxServices = 512
	// retryPercent is the number of retries earned by a hundred requests.
	retryPercent = 10
	// retryCost is the cost of a retry, in units of which each request earns
	// retryPercent.
	retryCost = 100
	// maxSavedRetries is the number of retries that an account may accumulate.
	maxSavedRetries = 10
)

// Allowance is the number of extra attempts that the whole call tree below a
// request may make. It is sent with the request. An extra attempt carries one
// less than the first, so with an allowance of one a path of depth d costs at
// most d+1 attempts instead of 2^d.
type Allowance uint8

// ForExtraAttempt returns the allowance for an extra attempt and whether the
// attempt may be made. An attempt that was already retried further down the
// tree is not repeated; retriedBelow is reported with the failed answer.
func (a Allowance) ForExtraAttempt(retriedBelow bool) (Allowance, bool) {
	if a == 0 || retriedBelow {
		return 0, false
	}
	return a - 1, true
}

// RetryBudget limits retries and hedges to a share of the requests, for each
// service as a whole and for each of its callers.
type RetryBudget struct {
	services map[dfuident.Service]*int
	callers  map[callerAccount]*int
	// callerOrder holds the callers' accounts from oldest to newest, for
	// eviction.
	callerOrder []callerAccount
}

// callerAccount identifies one caller of one service.
type callerAccount struct {
	service dfuident.Service
	caller  dfuident.Caller
}

// NewRetryBudget returns a budget without accounts.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{services: map[dfuident.Service]*int{}, callers: map[callerAccount]*int{}}
}

// Credit records a first attempt.
func (r *RetryBudget) Credit(_ dfuclock.Time, service dfuident.Service, caller dfuident.Caller, _ bool) {
	for _, balance := range r.accounts(service, caller) {
		*balance = min(*balance+retryPercent, maxSavedRetries*retryCost)
	}
}

// Take charges an extra attempt and reports whether it may be sent.
func (r *RetryBudget) Take(_ dfuclock.Time, service dfuident.Service, caller dfuident.Caller) bool {
	accounts := r.accounts(service, caller)
	for _, balance := range accounts {
		if *balance < retryCost {
			return false
		}
	}
	for _, balance := range accounts {
		*balance -= retryCost
	}
	return true
}

// TakeHedge charges a hedge like any extra attempt.
func (r *RetryBudget) TakeHedge(now dfuclock.Time, service dfuident.Service, caller dfuident.Caller) bool {
	return r.Take(now, service, caller)
}

// accounts returns the balances that a caller's attempt is charged to. New
// accounts start with one retry. The service's account limits the total if
// callers change their names. Services beyond MaxServices have a balance of
// zero.
func (r *RetryBudget) accounts(service dfuident.Service, caller dfuident.Caller) [2]*int {
	serviceBalance := r.services[service]
	if serviceBalance == nil {
		serviceBalance = new(int)
		if len(r.services) < MaxServices {
			*serviceBalance = retryCost
			r.services[service] = serviceBalance
		}
	}
	return [2]*int{serviceBalance, r.callerBalance(callerAccount{service, caller})}
}

// callerBalance returns the balance of a caller. If there are too many
// accounts, a new one replaces the oldest.
func (r *RetryBudget) callerBalance(a callerAccount) *int {
	if balance := r.callers[a]; balance != nil {
		return balance
	}
	if len(r.callerOrder) >= MaxCallers {
		delete(r.callers, r.callerOrder[0])
		r.callerOrder = r.callerOrder[1:]
	}
	balance := new(int)
	*balance = retryCost
	r.callers[a] = balance
	r.callerOrder = append(r.callerOrder, a)
	return balance
}
