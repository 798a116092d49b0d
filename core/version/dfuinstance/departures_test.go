package dfuinstance_test

import (
	"testing"

	"dragonflyusher/core/version/dfuinstance"

	"github.com/matryer/is"
)

// A run stays recorded whatever other runs state, until many later ones have.
func TestDepartures(t *testing.T) {
	is := is.New(t)
	var d dfuinstance.Departures
	run := func(born dfuinstance.UnixMs) dfuinstance.Run { return dfuinstance.Run{Instance: "a", Born: born} }
	is.True(d.Add(run(1)))
	is.True(d.Add(run(2)))
	is.True(!d.Add(run(1)))
	is.True(d.Contains(run(1)) && d.Contains(run(2)) && !d.Contains(run(3)))
	is.True(!d.Add(dfuinstance.Run{Born: 5}))
	is.True(!d.Contains(dfuinstance.Run{Born: 5}))
	for born := dfuinstance.UnixMs(3); born <= 1000; born++ {
		is.True(d.Add(run(born)))
	}
	is.True(!d.Contains(run(1)) && d.Contains(run(1000)) && d.Contains(run(990)))
}
