package dfucontrol_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"dragonflyusher/io/process/dfucontrol"

	"github.com/matryer/is"
)

// Another writer left an invalid entry on a zone page: the whole page was ignored, so that a
// node that started again under a slow clock took a lower incarnation than its former run.
func TestInvalidEntryLeavesTheOthersOfItsPage(t *testing.T) {
	const page = "zone/sued/sued-a"
	deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	entry := `{"node": %s, "incarnation": %s, "peer": %q, "http": "", "place": {"region": "sued", "zone": "sued-a"}}`
	for name, invalid := range map[string]string{
		"nested deeply":         fmt.Sprintf(entry, deep, "1", "127.0.0.1:7009"),
		"number too large":      fmt.Sprintf(entry, `"vm-9"`, "1e999", "127.0.0.1:7009"),
		"own number too large":  fmt.Sprintf(entry, `"vm-0"`, "18446744073709551615", "127.0.0.1:7000"),
		"port out of range":     fmt.Sprintf(entry, `"vm-9"`, "1", "127.0.0.1:70000"),
		"other types":           `{"node": 7, "incarnation": "x", "place": []}`,
		"no entry":              `"spawn"`,
		"text that is not JSON": `nonsense`,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t)
			first, stopFirst := f.start(0)
			second, stopSecond := f.start(2)
			f.wait("both see each other", allAlive([]*dfucontrol.Controller{first, second}, 2))
			f.wait("the page lists both", func() bool {
				nodes, _ := f.store.page(t, page)
				return len(nodes) == 2
			})
			before := first.Member()
			stopFirst()
			stopSecond()
			f.store.mu.Lock()
			listed := strings.TrimPrefix(string(f.store.records[page].Value), "[")
			f.store.mu.Unlock()
			f.store.put(page, []byte("["+invalid+","+listed))

			restarted, _ := f.startAt(0, func() time.Time { return time.Now().Add(-time.Hour) })
			second, _ = f.start(2)
			f.wait("both see each other again", allAlive([]*dfucontrol.Controller{restarted, second}, 2))
			is.Equal(restarted.Member().Incarnation, before.Incarnation+1)
			f.wait("the page lists the valid entries only", func() bool {
				f.store.mu.Lock()
				value := string(f.store.records[page].Value)
				f.store.mu.Unlock()
				return !strings.Contains(value, invalid) && strings.Contains(value, "vm-0") && strings.Contains(value, "vm-2")
			})
		})
	}
}
