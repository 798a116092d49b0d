package dfubudget_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"dragonflyusher/core/process/dfubudget"
	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/txtar"
)

var update = flag.Bool("update", false, "rewrite the transcripts")

// TestSessions runs the scripts under testdata and compares their transcripts.
func TestSessions(t *testing.T) {
	files, _ := filepath.Glob("testdata/*.txtar")
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			is := is.New(t)
			archive, err := txtar.ParseFile(file)
			is.NoErr(err)
			transcript := play(string(archive.Files[0].Data))
			if *update {
				archive.Files = append(archive.Files[:1], txtar.File{Name: "transcript", Data: []byte(transcript)})
				is.NoErr(os.WriteFile(file, txtar.Format(archive), 0o644))
				return
			}
			is.Equal(string(archive.Files[1].Data), transcript)
		})
	}
}

// play runs a script with one command per line, each preceded by a time.
func play(script string) string {
	measuring := dfubudget.NewMeasuringBudget(1)
	retries := dfubudget.NewRetryBudget()
	backoff := dfubudget.NewBackoff(rand.New(rand.NewPCG(1, 1)))
	var out strings.Builder
	for line := range strings.Lines(script) {
		words := strings.Fields(line)
		if len(words) < 2 {
			continue
		}
		now := dfuclock.Time(number(words[0]))
		fmt.Fprintf(&out, "%s", strings.TrimSpace(line))
		switch words[1] {
		case "budget":
			measuring.SetBudget(now, dfubudget.Budget{
				BytesPerSecond: dfubudget.Rate(number(words[2])), CallsPerSecond: 100,
				LinkBytesPerSecond: dfubudget.Rate(number(words[3])), Regions: 2, PlannedNodes: 8,
			})
		case "view":
			joined := dfuclock.Time(number(words[3]))
			measuring.SetView(now, dfubudget.View{Confirmed: now, Nodes: number(words[2]), Joined: joined, Member: joined > 0 && len(words) == 4})
			fmt.Fprintf(&out, ": one part in %d", measuring.Divisor(now))
		case "wait":
			fmt.Fprintf(&out, ": one part in %d", measuring.Divisor(now))
		case "take":
			s := dfubudget.Spend{Cause: dfubudget.CauseProbe, Bytes: dfuident.Bytes(number(words[2])), Link: words[len(words)-1] == "link"}
			fmt.Fprintf(&out, ": %v %+v", measuring.Take(now, s), measuring.Usage(dfubudget.CauseProbe))
		case "requests":
			for range number(words[3]) {
				retries.Credit(now, "svc", dfuident.Caller(words[2]), false)
			}
		case "retries":
			granted := 0
			for range number(words[3]) {
				if retries.Take(now, "svc", dfuident.Caller(words[2])) {
					granted++
				}
			}
			fmt.Fprintf(&out, ": %d granted", granted)
		case "fail":
			wait := backoff.Failure(dfubudget.ClassStore)
			fmt.Fprintf(&out, ": wait %v of %v", wait, backoff.Current(dfubudget.ClassStore))
		case "succeed":
			backoff.Success(dfubudget.ClassStore)
			fmt.Fprintf(&out, ": %v", backoff.Current(dfubudget.ClassStore))
		case "tree":
			fmt.Fprintf(&out, ": %d attempts at the leaf", attempts(number(words[2]), dfubudget.Allowance(number(words[3])), words[4] == "told"))
		default:
			panic(words[1])
		}
		out.WriteByte('\n')
	}
	return out.String()
}

// attempts counts how often the leaf of a call chain runs if it always fails.
// Each level makes as many extra attempts as its allowance permits, and reports
// them to the level above if reportsRetry is set.
func attempts(depth int, allowance dfubudget.Allowance, reportsRetry bool) int {
	if depth == 0 {
		return 1
	}
	n := attempts(depth-1, allowance, reportsRetry)
	retriedBelow := reportsRetry && depth > 1 && allowance > 0
	for {
		extra, ok := allowance.ForExtraAttempt(retriedBelow)
		if !ok {
			return n
		}
		allowance = extra
		n += attempts(depth-1, allowance, reportsRetry)
	}
}

func number(word string) int {
	n, err := strconv.Atoi(word)
	if err != nil {
		panic(err)
	}
	return n
}
