package dfucontrol

import (
	"strings"

	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/version/dfurecord"

	"go.uber.org/zap"
)

const (
	// maxReportedFindings is the number of findings in one record that are logged.
	maxReportedFindings = 10
	// maxReportedKeys is the number of keys whose invalid values are remembered as logged.
	maxReportedKeys = 1024
)

// reportInvalid logs each revision of a record that was rejected, once.
func (l *eventLoop) reportInvalid(invalid []dfurecord.Invalid) {
	for _, i := range invalid {
		if l.reported[i.Key] == i.Revision || len(l.reported) >= maxReportedKeys {
			continue
		}
		if l.reported == nil {
			l.reported = make(map[string]dfuident.Revision)
		}
		l.reported[i.Key] = i.Revision
		l.rejected++
		findings := strings.Split(i.Message, "\n")
		for _, finding := range findings[:min(len(findings), maxReportedFindings)] {
			l.control.deps.Log.Warn("record rejected", zap.String("key", i.Key), zap.Uint64("revision", uint64(i.Revision)),
				zap.Uint64("in_force", uint64(i.InForce)), zap.String("finding", finding), zap.Int("findings", len(findings)))
		}
	}
}
