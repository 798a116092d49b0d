package dfuoperator

import (
	"os"

	"dragonflyusher/core/process/dfufinding"
	"dragonflyusher/core/process/dfuident"
	"dragonflyusher/core/version/dfucatalogue"

	"github.com/cockroachdb/errors"
)

// entryFiles holds the positional arguments of commands that read files.
type entryFiles struct {
	Files []string `positional-arg-name:"FILE" required:"1"`
}

// parse reads one entry from each file. The error contains the findings of all
// files.
func (f entryFiles) parse() ([]dfucatalogue.Entry, error) {
	var all dfufinding.List
	var entries []dfucatalogue.Entry
	seen := make(map[dfuident.Service]string)
	for _, file := range f.Files {
		data, err := os.ReadFile(file)
		if err != nil {
			all.Add(file, "%s", errors.UnwrapAll(err))
			continue
		}
		entry, err := dfucatalogue.Parse(file, data)
		if addFindings(&all, file, err) {
			continue
		}
		if earlier, ok := seen[entry.Service]; ok {
			all.Add(file, "defines service %q, as %s does", entry.Service, earlier)
		}
		seen[entry.Service] = file
		entries = append(entries, entry)
	}
	return entries, all.Err()
}

// addFindings adds the findings of an error about a file to all, or the error
// itself if it contains none. It reports whether err is non-nil.
func addFindings(all *dfufinding.List, file string, err error) bool {
	var findings *dfufinding.Error
	switch {
	case err == nil:
		return false
	case !errors.As(err, &findings):
		all.Add(file, "%s", err)
		return true
	}
	for _, finding := range findings.Findings {
		all.Add(finding.Place, "%s", finding.Message)
	}
	return true
}
