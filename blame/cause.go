package blame

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Cause is a hash of something that may end a backend server which begins to write an answer: one part of the prompt, or
// the whole content of a request.
type Cause uint64

// Part returns the cause that stands for the part of a prompt with an id.
func Part(id string) Cause { return Cause(xxhash.Sum64String("part\x00" + id)) }

// content returns the cause that stands for a request's whole content, given its hash.
func content(hash uint64) Cause {
	return Cause(xxhash.Sum64(binary.BigEndian.AppendUint64([]byte("content\x00"), hash)))
}

// Causes returns what may end a backend server that runs a request: the shared parts of its prompt, and its content.
// A request without such parts has no causes.
func Causes(parts []string, contentHash uint64) []Cause {
	if len(parts) == 0 {
		return nil
	}
	causes := make([]Cause, 0, len(parts)+1)
	for _, id := range parts {
		causes = append(causes, Part(id))
	}
	return append(causes, content(contentHash))
}

// PartsOf returns those of a request's causes that are parts of its prompt.
func PartsOf(causes []Cause) []Cause { return causes[:max(len(causes)-1, 0)] }

// count returns how many of some causes are among others.
func count(causes, among []Cause) int {
	n := 0
	for _, c := range causes {
		if slices.Contains(among, c) {
			n++
		}
	}
	return n
}

// properSubset reports whether all of some causes, which are sorted, are among others, which are more.
func properSubset(causes, of []Cause) bool {
	return len(causes) < len(of) && count(causes, of) == len(causes)
}
