package origin

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/event"
)

// maxSharedBytes bounds the records in an answer, which is one datagram.
const maxSharedBytes = 32 << 10

// fill adds the records to an answer.
func (r *records) fill(to *reply, now time.Time) {
	if r == nil {
		return
	}
	size := 0
	var rows []recordRow
	add := func(key string, value any) {
		raw, err := cbor.Marshal(value)
		if err != nil {
			size = maxSharedBytes + 1
			return
		}
		size += len(key) + len(raw)
		rows = append(rows, recordRow{Key: key, Value: raw})
	}
	for key, value := range r.services {
		add(key, value)
	}
	for key, value := range r.routes {
		add(key, value)
	}
	if size <= maxSharedBytes {
		to.Records, to.End, to.Millis = rows, r.end, now.Sub(r.readAt).Milliseconds()
	}
}

// askRecords asks peers for the records that they know, for an entry that can't read the store. A version in them may
// begin streams here as it may there.
func (l *Locator) askRecords() {
	raw, err := cbor.Marshal(message{Query: true, Records: true})
	if err != nil {
		l.Events.Warn(event.PeerDown).Err(err).Msg("query for the versions of services can't be encoded; not sent")
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	for _, peer := range l.Peers(0) {
		answer := l.query(ctx, peer, raw)
		if answer == nil || len(answer.Records) == 0 {
			continue
		}
		r := &records{
			services: map[string]serviceRecord{}, routes: map[string]routeRecord{}, end: answer.End,
			readAt: time.Now().Add(-time.Duration(answer.Millis) * time.Millisecond),
		}
		for _, row := range answer.Records {
			if err := r.put(sardinerock.StoreRecord{Key: row.Key, Value: row.Value}); err != nil {
				l.Events.Info(event.PeerDown).Str("peer", peer).Err(err).Msg("record of a peer can't be decoded; ignored")
				return
			}
		}
		l.Versions.set(r)
		return
	}
}
