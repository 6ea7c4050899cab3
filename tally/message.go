package tally

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// maxReported is the number of items in one message. A job has no more, and the message fits into a datagram.
const maxReported = 200

// message is a report of failed runs, a query for them or the answer to one. It is encoded as an array of three, which
// entries of earlier builds reject and leave unanswered.
type message struct {
	_     struct{} `cbor:",toarray"`
	Job   string
	Query bool
	Items []entry
}

// entry is what is known of the failed runs of one item.
type entry struct {
	_        struct{} `cbor:",toarray"`
	Index    int
	Count    int
	Rejected bool
}

// arrayOfThree is the first byte of an encoded message.
const arrayOfThree = 0x83

// IsMessage reports whether a message between entries is one for Tally.Answer.
func IsMessage(raw []byte) bool { return len(raw) > 0 && raw[0] == arrayOfThree }

func encode(m *message) ([]byte, error) { return cbor.Marshal(m) }

func decode(raw []byte) (*message, error) {
	var m message
	if err := cbor.Unmarshal(raw, &m); err != nil {
		return nil, fmt.Errorf("tally: %w", err)
	}
	if m.Job == "" || len(m.Items) > maxReported {
		return nil, fmt.Errorf("tally: message without a job, or with %d items", len(m.Items))
	}
	for _, i := range m.Items {
		if i.Index < 0 || i.Count < 0 {
			return nil, fmt.Errorf("tally: item %d with %d failures", i.Index, i.Count)
		}
	}
	return &m, nil
}
