package dfustorestandin

import (
	"time"

	"dragonflyusher/core/process/dfuclock"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/io/process/dfustore"
	"dragonflyusher/platform"
)

var _ dfuplatform.Backend = (*Server)(nil)

// Get implements dfuplatform.Backend.
func (s *Server) Get(key string) (dfuplatform.Item, bool, dfuident.Revision) {
	return s.state.get(key)
}

// Range implements dfuplatform.Backend.
func (s *Server) Range(prefix, after string) ([]dfuplatform.Item, bool, dfuident.Revision) {
	return s.state.list(prefix, after)
}

// Watch implements dfuplatform.Backend.
func (s *Server) Watch(prefix string, after dfuident.Revision, wait dfuclock.Duration) ([]dfuplatform.Item, dfuident.Revision, bool) {
	timeout := time.NewTimer(wait.Std())
	defer timeout.Stop()
	cuts := s.state.cutCount()
	for done := false; ; {
		if s.state.cutCount() != cuts {
			return nil, 0, false
		}
		events, asOf, complete, changed := s.state.changesSince(prefix, after)
		if !complete {
			return nil, asOf, false
		}
		if len(events) > 0 || done {
			return events, asOf, true
		}
		select {
		case <-changed:
		case <-timeout.C:
			done = true
		case <-s.stop:
			done = true
		}
	}
}

// Commit implements dfuplatform.Backend.
func (s *Server) Commit(c dfuplatform.Commit) dfuplatform.CommitResult {
	return s.state.commit(c)
}

// Grant implements dfuplatform.Backend.
func (s *Server) Grant(ttl dfuclock.Duration) dfustore.LeaseID {
	return s.state.grantLease(ttl)
}

// KeepAlive implements dfuplatform.Backend.
func (s *Server) KeepAlive(id dfustore.LeaseID) (dfuclock.Duration, bool) {
	return s.state.keepAlive(id)
}

// Revoke implements dfuplatform.Backend.
func (s *Server) Revoke(id dfustore.LeaseID) bool {
	return s.state.revokeLease(id)
}
