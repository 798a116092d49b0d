// Package dfusettings parses and validates the JSON settings file of a node.
package dfusettings
