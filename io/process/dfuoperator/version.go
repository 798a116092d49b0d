package dfuoperator

import (
	"context"

	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/version/dfucatalogue"
	"dragonflyusher/io/process/dfustore"

	"github.com/cockroachdb/errors"
)

// entryVersion is one version of an entry as the store holds it.
type entryVersion struct {
	// revision is zero if the service never had an entry.
	revision dfuident.Revision
	stored   dfucatalogue.Stored
	// invalid is the decoding or validation error if the value in the store is
	// invalid. Then stored is empty, and nodes keep the last valid version in
	// force.
	invalid error
}

// live reports whether the version is an entry rather than a tombstone.
func (v entryVersion) live() bool {
	return v.revision > 0 && !v.stored.Deleted
}

func versionOf(r dfustore.Record) entryVersion {
	v := entryVersion{revision: r.Revision}
	if !r.Exists() {
		v.stored.Deleted = true
		return v
	}
	v.stored, v.invalid = dfucatalogue.DecodeStored(r.Value)
	return v
}

// serviceOf returns the service of a catalogue record.
func serviceOf(r dfustore.Record) dfuident.Service {
	return dfuident.Service(r.Key[len(dfustore.CataloguePrefix):])
}

// read returns the version of an entry in the store.
func (s *session) read(ctx context.Context, service dfuident.Service) (entryVersion, error) {
	store, err := s.store()
	if err != nil {
		return entryVersion{}, err
	}
	record, err := store.Get(ctx, dfustore.CatalogueKey(service))
	if err != nil {
		return entryVersion{}, errors.Wrapf(err, "read %s", service)
	}
	return versionOf(record), nil
}

// readLive returns the version of an entry in the store. It reports an error if
// the entry doesn't exist or is invalid.
func (s *session) readLive(ctx context.Context, service dfuident.Service) (entryVersion, error) {
	v, err := s.read(ctx, service)
	switch {
	case err != nil:
		return v, err
	case v.invalid != nil:
		s.notef("%s: the store holds an invalid entry at revision %d:\n%s", service, v.revision, v.invalid)
		return v, errors.WithStack(errFailed)
	case v.revision == 0:
		s.notef("%s: no such entry", service)
		return v, errors.WithStack(errFailed)
	case !v.live():
		s.notef("%s: deleted at revision %d%s", service, v.revision, byChange(v.stored.ChangeID))
		return v, errors.WithStack(errFailed)
	}
	return v, nil
}

// checkFrom reports an error if a change was made from a later revision than the
// one just read. The store's reply then comes from a lagging replica, or the
// revision is wrong, so a conflict can't be detected.
func (s *session) checkFrom(service dfuident.Service, from *dfuident.Revision, base entryVersion) error {
	if from == nil || *from <= base.revision {
		return nil
	}
	s.notef("%s: the store shows revision %d, which is older than --from %d; no change was sent",
		service, base.revision, *from)
	return errors.WithStack(errFailed)
}

// byChange returns a suffix that names the change that wrote a version, or an
// empty string if the id is empty.
func byChange(id dfuident.ChangeID) string {
	if id == "" {
		return ""
	}
	return " by change " + string(id)
}
