// Package dfucatalogue defines a catalogue entry, the form in which the store
// holds it, the checks that an entry must pass and the comparison of two
// entries field by field.
//
// Operators drive the system only by changing entries. An entry is checked
// whole before it is written, and again when it is read from the store.
package dfucatalogue
