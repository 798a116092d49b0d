// Package dfubody holds the bodies of requests and answers within one limit of memory.
package dfubody
