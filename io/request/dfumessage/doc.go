// Package dfumessage holds the messages that carry a request between the entry
// node and the node whose local target runs it.
package dfumessage
