// Package dfucatalogue defines the catalogue entry, its representation in the
// store, its validation, and a field-by-field comparison of two entries.
//
// Operators control the system only by changing entries. An entry is fully
// validated before it is written, and again when it is read from the store.
package dfucatalogue
