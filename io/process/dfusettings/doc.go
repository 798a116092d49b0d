// Package dfusettings reads and checks the JSON settings of a node.
package dfusettings
