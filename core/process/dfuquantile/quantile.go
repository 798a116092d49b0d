package dfuquantile

// step is how far one number moves an estimate, as a share of the estimate.
const step = 0.1

// Estimate follows a quantile of the numbers that it is given: each one above it
// raises it and each one below it lowers it, in proportion to the quantile. The
// numbers are positive. The zero value knows nothing.
type Estimate struct {
	value float64
}

// Add takes a number into the estimate of a quantile from 0 to 1.
func (e *Estimate) Add(number, quantile float64) {
	switch {
	case e.value == 0:
		e.value = number
	case number < e.value:
		e.value -= step * (1 - quantile) * e.value
	default:
		e.value += step * quantile * e.value
	}
}

// Value returns the estimate, zero while nothing is known.
func (e *Estimate) Value() float64 {
	return e.value
}
