package dfuquantile

// step is the change of the estimate per sample, relative to the estimate.
const step = 0.1

// Estimate is a running estimate of a quantile of positive samples. A sample
// above the estimate raises it in proportion to the quantile q, and one below
// lowers it in proportion to 1-q. The zero value is an estimate without
// samples.
type Estimate struct {
	value float64
}

// Add updates the estimate with a sample. Quantile is between 0 and 1.
func (e *Estimate) Add(sample, quantile float64) {
	switch {
	case e.value == 0:
		e.value = sample
	case sample < e.value:
		e.value -= step * (1 - quantile) * e.value
	default:
		e.value += step * quantile * e.value
	}
}

// Value returns the estimate, or zero if there are no samples yet.
func (e *Estimate) Value() float64 {
	return e.value
}
