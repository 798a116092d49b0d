package dfuexperiment_test

import (
	"testing"

	"dragonflyusher/measure/dfuemulator"
	"dragonflyusher/measure/dfuexperiment"

	"github.com/matryer/is"
)

func TestVary(t *testing.T) {
	is := is.New(t)
	list, err := dfuexperiment.Vary(dfuemulator.Current(), "admit_quantile=0.5,0.9")
	is.NoErr(err)
	is.Equal(len(list), 2)
	is.Equal(list[1].Name, "admit_quantile=0.9")
	is.Equal(list[1].Gate.AdmitQuantile, 0.9)
	is.Equal(list[0].Choice, dfuemulator.Current().Choice)
	for _, invalid := range []string{"", "admit_quantile", "speed=1", "admit_quantile=fast"} {
		_, err := dfuexperiment.Vary(dfuemulator.Current(), invalid)
		is.True(err != nil)
	}
}
