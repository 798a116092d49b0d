package dfunode

import (
	"bytes"
	"context"
	"os"
	"reflect"
	"time"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/io/process/dfusettings"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// reloadPeriod is the time between two looks at the settings file, which may
// change without a signal. The platform's settings take effect at a start, so
// that nothing is in a hurry.
const reloadPeriod = 5 * dfuclock.Second

// FollowSettings puts changed settings in force until ctx ends: at once when
// changed is signaled, or else within some seconds.
func (n *Node) FollowSettings(ctx context.Context, path string, changed <-chan os.Signal) {
	ticker := time.NewTicker(reloadPeriod.Std())
	defer ticker.Stop()
	known, err := os.ReadFile(path)
	if err != nil {
		n.log.Warn("settings can't be read again", zap.Error(err))
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
			n.log.Info("reload ordered")
		case <-ticker.C:
		}
		data, err := os.ReadFile(path)
		if err != nil {
			n.log.Warn("settings can't be read, those in force stay", zap.Error(err))
			continue
		}
		if !bytes.Equal(data, known) {
			known = data
			n.reload(path, data)
		}
	}
}

// reload puts in force what may change while the node runs, and names what needs
// a new start. Settings that are not valid change nothing.
func (n *Node) reload(path string, data []byte) {
	next, err := dfusettings.Parse(path, data)
	if err != nil {
		n.log.Error("changed settings are not valid, those in force stay", zap.Error(err))
		return
	}
	n.live.Store(&next)
	if level, err := zapcore.ParseLevel(next.Log.Level); err == nil {
		n.lines.Level.SetLevel(level)
	}
	if s := n.started.Load(); s != nil {
		s.entry.SetLimits(fleetLimits(next.Retry))
	}
	n.log.Info("settings changed", zap.Strings("needs_restart", fixedChanges(n.settings, next)))
}

// fixedChanges names the settings that differ and take effect only at a start.
func fixedChanges(old, next dfusettings.Settings) []string {
	fixed := []struct {
		name   string
		differ bool
	}{
		{"node", old.Node != next.Node},
		{"region", old.Region != next.Region},
		{"zone", old.Zone != next.Zone},
		{"listen", !reflect.DeepEqual(old.Listen, next.Listen)},
		{"advertise", !reflect.DeepEqual(old.Advertise, next.Advertise)},
		{"store", old.Store != next.Store},
		{"trace", old.Trace != next.Trace},
		{"limits", old.Limits != next.Limits},
		{"protocol", old.Protocol != next.Protocol},
	}
	names := []string{}
	for _, f := range fixed {
		if f.differ {
			names = append(names, f.name)
		}
	}
	return names
}
