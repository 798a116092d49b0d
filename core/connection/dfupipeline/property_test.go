package dfupipeline_test

import (
	"testing"

	"dragonflyusher/core/connection/dfupipeline"
	"dragonflyusher/core/process/dfuident"

	"pgregory.net/rapid"
)

// connection is a model of one connection. It checks the actions of the Pipeline.
type connection struct {
	pipeline   *dfupipeline.Pipeline
	dispatched dfupipeline.Sequence
	written    dfupipeline.Sequence
	responded  map[dfupipeline.Sequence]bool
	canceled   map[dfupipeline.Sequence]bool
	writing    bool
	announced  bool
	failed     bool
	closed     bool
}

func (c *connection) step(t *rapid.T, event dfupipeline.Event) {
	for _, action := range c.pipeline.Step(event) {
		if c.closed {
			t.Fatalf("%T after Close", action)
		}
		switch a := action.(type) {
		case dfupipeline.Dispatch:
			if a.Sequence != c.dispatched+1 || c.announced {
				t.Fatalf("request %d is dispatched after %d, close announced: %v", a.Sequence, c.dispatched, c.announced)
			}
			c.dispatched = a.Sequence
		case dfupipeline.Write:
			if c.writing || a.Sequence != c.written+1 || !c.responded[a.Sequence] || c.announced {
				t.Fatalf("response %d is written out of turn", a.Sequence)
			}
			if a.Close && a.Sequence != c.dispatched {
				t.Fatalf("response %d closes the connection, but request %d was dispatched", a.Sequence, c.dispatched)
			}
			c.writing, c.announced = true, a.Close
		case dfupipeline.Cancel:
			if c.responded[a.Sequence] || c.canceled[a.Sequence] || a.Sequence > c.dispatched {
				t.Fatalf("request %d can't be canceled", a.Sequence)
			}
			c.canceled[a.Sequence] = true
		case dfupipeline.Close:
			if !c.failed && c.written != c.dispatched {
				t.Fatalf("the connection closes after response %d of %d", c.written, c.dispatched)
			}
			c.closed = true
		}
	}
}

// Whatever the order of events, responses are written one at a time in the order of
// the requests, nothing follows a response that announces a close, and every request
// that was dispatched gets its response unless writing failed.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := dfupipeline.Limits{Requests: rapid.IntRange(1, 4).Draw(t, "requests"), Bytes: 50}
		c := &connection{
			pipeline:  dfupipeline.New(limits),
			responded: map[dfupipeline.Sequence]bool{},
			canceled:  map[dfupipeline.Sequence]bool{},
		}
		size := rapid.Custom(func(t *rapid.T) dfuident.Bytes { return dfuident.Bytes(rapid.IntRange(0, 30).Draw(t, "size")) })
		t.Repeat(map[string]func(*rapid.T){
			"receive": func(t *rapid.T) {
				if !c.pipeline.CanRead() {
					t.Skip("the pipeline is full or at its end")
				}
				c.step(t, dfupipeline.Received{Size: size.Draw(t, "size"), Close: rapid.IntRange(0, 9).Draw(t, "close") == 0})
			},
			"respond": func(t *rapid.T) {
				if c.dispatched == 0 {
					t.Skip("there is no request")
				}
				sequence := dfupipeline.Sequence(rapid.Uint64Range(1, uint64(c.dispatched)).Draw(t, "sequence"))
				c.responded[sequence] = true
				c.step(t, dfupipeline.Responded{Sequence: sequence, Size: size.Draw(t, "size")})
			},
			"write": func(t *rapid.T) {
				if !c.writing {
					t.Skip("nothing is being written")
				}
				c.writing = false
				c.written++
				c.failed = rapid.IntRange(0, 19).Draw(t, "failed") == 0
				c.step(t, dfupipeline.Written{Failed: c.failed})
			},
			"end input": func(t *rapid.T) { c.step(t, dfupipeline.InputEnded{}) },
			"stop":      func(t *rapid.T) { c.step(t, dfupipeline.Stop{}) },
			"": func(t *rapid.T) {
				if n := int(c.dispatched - c.written); !c.closed && n != c.pipeline.Len() {
					t.Fatalf("%d requests are unanswered, the pipeline holds %d", n, c.pipeline.Len())
				}
			},
		})
	})
}
