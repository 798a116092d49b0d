// Package dfureport writes what experiments measured: tables in Markdown and plots in
// SVG.
package dfureport
