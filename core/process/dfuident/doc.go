// Package dfuident defines the identifiers and units shared by all packages.
//
// Identifiers are comparable and have one stable string form, so that they can
// be used as map keys, in log lines and in golden files.
package dfuident
