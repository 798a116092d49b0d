package dfuident

// Revision is the store's revision at the last change of a key. The store
// increments its revision with every change of any key. It is zero for a key
// that was never written.
//
// A store that is restored from an older copy, or counts its revisions anew, returns smaller
// ones than before. The upper bits therefore hold the era, so that revisions of a later era
// are greater.
type Revision uint64

// Era counts how often the revisions of the store are known to have become smaller.
type Era uint32

// eraShift is the number of bits for the revision as the store has it. Some 17 trillion
// changes and a million eras fit.
const eraShift = 44

// Revision returns the revision that the store has in an era; zero stays zero.
func (e Era) Revision(inStore Revision) Revision {
	if inStore == 0 {
		return 0
	}
	return Revision(e)<<eraShift | inStore.InStore()
}

// Era returns the era of the revision.
func (r Revision) Era() Era {
	return Era(r >> eraShift)
}

// InStore returns the revision as the store has it.
func (r Revision) InStore() Revision {
	return r & (1<<eraShift - 1)
}
