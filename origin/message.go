package origin

import (
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/sardinerock/sardinerock"
)

// message is a notification of streams, or a query for one, between entries. It is encoded as a map, which
// entries of earlier builds reject and leave unanswered.
type message struct {
	Begun []begun `cbor:"1,keyasint,omitempty"`
	// Stream is queried. Service is that of its route, if there is one, whose versions are to be stated.
	Stream  uint64 `cbor:"2,keyasint,omitempty"`
	Service string `cbor:"3,keyasint,omitempty"`
	Query   bool   `cbor:"4,keyasint,omitempty"`
	// Records asks for the records that the peer knows.
	Records bool `cbor:"5,keyasint,omitempty"`
}

// begun is a stream that a backend server has begun.
type begun struct {
	_       struct{} `cbor:",toarray"`
	Stream  uint64
	Service string
	Version string
	// Millis is for how long the stream may still be resumed.
	Millis int64
}

// reply is the answer to a query.
type reply struct {
	// Begun is the queried stream, or nil if it isn't known.
	Begun *begun `cbor:"1,keyasint,omitempty"`
	// Only is the only version that the service has had for as long as a stream can last, if HasOnly is set.
	// Several is set if there are several, or were.
	Only    string `cbor:"2,keyasint,omitempty"`
	HasOnly bool   `cbor:"3,keyasint,omitempty"`
	Several bool   `cbor:"4,keyasint,omitempty"`
	// Records are those that the peer knows, if they were asked for; End and Millis are the end of their topic, and their
	// age.
	Records []recordRow `cbor:"5,keyasint,omitempty"`
	End     int64       `cbor:"6,keyasint,omitempty"`
	Millis  int64       `cbor:"7,keyasint,omitempty"`
}

// recordRow is a record of the versions of a service, or of the service of a route.
type recordRow struct {
	_     struct{} `cbor:",toarray"`
	Key   string
	Value []byte
}

// firstMapByte and lastMapByte bound the first byte of an encoded map of CBOR.
const (
	firstMapByte = 0xa0
	lastMapByte  = 0xbf
)

// IsMessage reports whether a query between entries is one for Locator.Answer.
func IsMessage(raw []byte) bool {
	return len(raw) > 0 && raw[0] >= firstMapByte && raw[0] <= lastMapByte
}

func newBegun(stream uint64, k known, now time.Time) begun {
	return begun{Stream: stream, Service: k.origin.Service, Version: k.origin.Version, Millis: k.until.Sub(now).Milliseconds()}
}

func (b *begun) known(now time.Time) known {
	return known{origin: sardinerock.Origin{Service: b.Service, Version: b.Version}, until: now.Add(min(time.Duration(b.Millis)*time.Millisecond, maxLifetime))}
}

var errNotMessage = errors.New("origin: neither a notification nor a query")

func decode(raw []byte) (*message, error) {
	var m message
	if err := cbor.Unmarshal(raw, &m); err != nil {
		return nil, err
	}
	if !m.Query && len(m.Begun) == 0 {
		return nil, errNotMessage
	}
	return &m, nil
}
