package fleet

import (
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Usage is the resource usage of a process since its start. Memory and Files are
// current values.
type Usage struct {
	CPU time.Duration
	// ResidentKB includes pages of the program that processes share; PrivateKB
	// does not.
	ResidentKB int
	PrivateKB  int
	// ReadBytes and WrittenBytes include all files and sockets.
	ReadBytes    int
	WrittenBytes int
	// Files is the number of open files, most of which are connections.
	Files int
}

// ReadUsage returns the usage of a process.
func ReadUsage(pid int) (Usage, error) {
	dir := "/proc/" + strconv.Itoa(pid)
	cpu, err := readCPU(dir)
	if err != nil {
		return Usage{}, err
	}
	status, err := readFields(dir + "/status")
	if err != nil {
		return Usage{}, err
	}
	io, err := readFields(dir + "/io")
	if err != nil {
		return Usage{}, err
	}
	files, err := os.ReadDir(dir + "/fd")
	if err != nil {
		return Usage{}, errors.Wrap(err, "list open files")
	}
	return Usage{
		CPU:          cpu,
		ResidentKB:   status["VmRSS"],
		PrivateKB:    status["RssAnon"],
		ReadBytes:    io["rchar"],
		WrittenBytes: io["wchar"],
		Files:        len(files),
	}, nil
}

// readCPU returns the total CPU time of a process's threads.
func readCPU(dir string) (time.Duration, error) {
	tasks, err := os.ReadDir(dir + "/task")
	if err != nil {
		return 0, errors.Wrap(err, "list threads")
	}
	var sum time.Duration
	for _, task := range tasks {
		text, err := os.ReadFile(dir + "/task/" + task.Name() + "/schedstat")
		if err != nil {
			return 0, errors.Wrap(err, "read processor time")
		}
		first, _, _ := strings.Cut(string(text), " ")
		ns, err := strconv.ParseInt(first, 10, 64)
		if err != nil {
			return 0, errors.Wrap(err, "read processor time")
		}
		sum += time.Duration(ns)
	}
	return sum, nil
}

// readFields parses lines with a name and a number. Other lines are skipped.
func readFields(path string) (map[string]int, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read usage")
	}
	fields := make(map[string]int)
	for line := range strings.Lines(string(text)) {
		words := strings.Fields(line)
		if len(words) < 2 {
			continue
		}
		if n, err := strconv.Atoi(words[1]); err == nil {
			fields[strings.TrimSuffix(words[0], ":")] = n
		}
	}
	return fields, nil
}
