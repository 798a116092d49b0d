// Package dfureport writes the results of experiments as Markdown tables and SVG plots.
package dfureport
