// Package dfumessage holds the messages that carry a request between the entry
// node and the node beside its target.
package dfumessage
