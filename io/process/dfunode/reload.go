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

// settingsPollPeriod is how often the settings file is read, since it may change
// without a signal. A few seconds are short enough: the platform's own settings
// take effect only at a restart.
const settingsPollPeriod = 5 * dfuclock.Second

// WatchSettings applies changes of the settings file at path until ctx ends:
// at once when changed receives a signal, otherwise within settingsPollPeriod.
func (n *Node) WatchSettings(ctx context.Context, path string, changed <-chan os.Signal) {
	ticker := time.NewTicker(settingsPollPeriod.Std())
	defer ticker.Stop()
	lastRead, err := os.ReadFile(path)
	if err != nil {
		n.log.Warn("cannot read the settings file", zap.Error(err))
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
			n.log.Info("reload requested by a signal")
		case <-ticker.C:
		}
		data, err := os.ReadFile(path)
		if err != nil {
			n.log.Warn("cannot read the settings file; keeping the current settings", zap.Error(err))
			continue
		}
		if !bytes.Equal(data, lastRead) {
			lastRead = data
			n.reload(path, data)
		}
	}
}

// reload applies the settings that can change while the node runs and logs the
// names of changed settings that need a restart. Invalid settings change nothing.
func (n *Node) reload(path string, data []byte) {
	next, err := dfusettings.Parse(path, data)
	if err != nil {
		n.log.Error("changed settings are invalid; keeping the current settings", zap.Error(err))
		return
	}
	n.latest.Store(&next)
	if level, err := zapcore.ParseLevel(next.Log.Level); err == nil {
		n.logOutput.Level.SetLevel(level)
	}
	if c := n.components.Load(); c != nil {
		c.dispatcher.SetLimits(fleetLimits(next))
	}
	n.log.Info("settings changed", zap.Strings("needs_restart", changesNeedingRestart(n.settings, next)))
}

// changesNeedingRestart returns the names of the settings that differ between old
// and next and that take effect only at a start.
func changesNeedingRestart(old, next dfusettings.Settings) []string {
	comparisons := []struct {
		name    string
		differs bool
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
	for _, f := range comparisons {
		if f.differs {
			names = append(names, f.name)
		}
	}
	return names
}
