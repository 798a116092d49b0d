package dfunode

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"dragonflyusher/core/version/dfuinstance"

	"github.com/matryer/is"
)

// Another writer announced the target with a number that it can't have reached: all later
// announcements of the target, and of its next runs, were ignored as outdated.
func TestImplausibleAnnouncementDoesNotOutdateTheTarget(t *testing.T) {
	const form = `{"service":"lager","address":"127.0.0.1:1","slots":4,"state":"ready","cold_remaining_ms":%s,"sequence":%s,"born":%s}`
	now := time.Now().UnixMilli()
	for name, invalid := range map[string]string{
		"born in the far future": fmt.Sprintf(form, "0", "2", "9223372036854775807"),
		"born in a year":         fmt.Sprintf(form, "0", "2", fmt.Sprint(now+int64(365*24*time.Hour/time.Millisecond))),
		"born below zero":        fmt.Sprintf(form, "0", "2", "-1"),
		"sequence too large":     fmt.Sprintf(form, "0", "18446744073709551615", fmt.Sprint(now)),
		"cold for ever":          fmt.Sprintf(form, "9223372036854775807", "2", fmt.Sprint(now)),
	} {
		t.Run(name, func(t *testing.T) {
			_, err := parseInstance("i-1", []byte(invalid), dfuinstance.UnixMs(now))
			is.New(t).True(err != nil)
		})
	}
	_, err := parseInstance("i-1", fmt.Appendf(nil, form, "20000", "7", fmt.Sprint(now+5000)), dfuinstance.UnixMs(now))
	is.New(t).NoErr(err) // the clock of another VM may be seconds ahead
}

// Another writer's announcement that is nested deeply, or has a value of another form, must
// be refused without harm to the node.
func TestMalformedAnnouncementIsRefused(t *testing.T) {
	const form = `{"service":%s,"address":%q,"slots":%s,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":100}`
	deep := strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000)
	for name, invalid := range map[string]string{
		"nested deeply":     fmt.Sprintf(form, deep, "127.0.0.1:1", "4"),
		"number too large":  fmt.Sprintf(form, `"lager"`, "127.0.0.1:1", "1e999"),
		"port out of range": fmt.Sprintf(form, `"lager"`, "127.0.0.1:70000", "4"),
		"other types":       fmt.Sprintf(form, "7", "127.0.0.1:1", `"4"`),
	} {
		t.Run(name, func(t *testing.T) {
			_, err := parseInstance("i-1", []byte(invalid), 100)
			is.New(t).True(err != nil)
		})
	}
}
