package main

import (
	_ "embed"
	"strings"
)

// namesText lists the names of the platform's protocol that the stand-ins use. They are
// kept out of the Go files, as everywhere but in platform/.
//
//go:embed names.txt
var namesText string

var names = parseNames()

func parseNames() map[string]string {
	parsed := map[string]string{}
	for line := range strings.Lines(namesText) {
		if f := strings.Fields(line); len(f) == 2 {
			parsed[f[0]] = f[1]
		}
	}
	return parsed
}
