package dfutargetstandin

import (
	"encoding/json"
	"os"
	"sync"

	"github.com/cockroachdb/errors"
)

// Effect is one line of the effect log, in JSON.
type Effect struct {
	Event     EffectEvent `json:"event"`
	Target    string      `json:"target"`
	Service   string      `json:"service"`
	URI       string      `json:"uri"`
	RequestID string      `json:"request_id"`
	Key       string      `json:"key,omitempty"`
}

// EffectEvent is the kind of event that an effect records.
type EffectEvent string

// The events of a run. A run has one start and at most one of the others.
const (
	EffectStarted  EffectEvent = "started"
	EffectFinished EffectEvent = "finished"
	EffectCanceled EffectEvent = "canceled"
	EffectCrashed  EffectEvent = "crashed"
)

// effectLog appends effects to a file. The run waits until its line is written,
// so that every run is in the log even if the target is killed.
type effectLog struct {
	mu   sync.Mutex
	file *os.File
}

// openEffectLog opens the log for appending. With an empty path, effects are
// discarded.
func openEffectLog(path string) (*effectLog, error) {
	if path == "" {
		return &effectLog{}, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	return &effectLog{file: file}, errors.Wrap(err, "open effect log")
}

func (l *effectLog) write(effect Effect) error {
	if l.file == nil {
		return nil
	}
	line, err := json.Marshal(effect)
	if err != nil {
		return errors.Wrap(err, "encode effect")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_, err = l.file.Write(append(line, '\n'))
	return errors.Wrap(err, "write effect log")
}
