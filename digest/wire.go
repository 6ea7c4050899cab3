package digest

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/sardinerock/sardinerock/crash"
	"github.com/sardinerock/sardinerock/pool"
	"github.com/sardinerock/sardinerock/quota"
	"github.com/sardinerock/sardinerock/speed"
)

// packed is the encoding of a message. Most sent bytes are forwarded between
// availability zones, so loads and items are packed into byte strings. Together with the short
// hashes this halves the size of a message.
type packed struct {
	_        struct{} `cbor:",toarray"`
	Sender   uint32
	Start    int64
	Sequence uint64
	// Loads holds the loads and, after an element of zeros, the speeds. A further field of its own
	// would make entries of the previous build reject the datagram. They take a speed for the load of
	// a backend server that they don't know, since the hash of its id is inverted, and ignore it.
	Loads []byte
	// Items holds the hashes of items and, after two of 0, the reports on prompts that end backend servers. Entries of
	// the previous build take these for items that they don't know.
	Items   []byte
	Waiting int
	Flags   uint8
	// Crashes holds, for each request, its failures at the sender and, under the inverted hash, the rest
	// of the report as a negative number. Entries of the previous build take that for a request which
	// no caller sends.
	Crashes map[uint64]int
	Quota   []byte
	Aborts  []byte
}

// Flags of a packed message.
const (
	flagLeaving uint8 = 1 << iota
	flagStoreLost
	flagStarting
)

const (
	// loadBytes is the size of a load: 4 bytes for the backend server's hash, 1 for each count.
	loadBytes = 6
	// speedBytes is the size of a speed: 4 bytes for the backend server's inverted hash, 1 for the
	// time per event, 1 for the evidence. It equals loadBytes.
	speedBytes = 6
	// hashBytes is the size of the hash of an item or a backend server.
	hashBytes = 4
	// quotaBytes is the size of a team's counts: 4 bytes for the team's hash, 2 for each
	// count, 1 for the remaining quota.
	quotaBytes = 9
	// abortBytes is the size of an abort: 4 bytes for the backend server's hash, 1 for the age.
	abortBytes = 5
	// sequenceRange is the range of the number of failures one after the other. Together with the
	// age it is packed into one number.
	sequenceRange = 16
	// maxFailures caps the number of failures of a request at one entry.
	maxFailures = 1000
	// ageUnit is the unit of the age of an abort; a byte holds up to 2.55 s.
	ageUnit = 10 * time.Millisecond
	// maxCount is the greatest value of a byte; greater counts and ages are capped.
	maxCount = 255
)

// datagram is the encoding of all that is sent in one datagram.
type datagram struct {
	_        struct{} `cbor:",toarray"`
	Messages []packed
	// Preempt holds the hashes of the backend servers on which the receiver is to preempt
	// a batch item each.
	Preempt []byte
}

// encoding sorts the keys of maps, so that equal messages have equal encodings: an unchanged message isn't
// sent again at once.
var encoding = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Sort: cbor.SortBytewiseLexical}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Encode returns the datagram with messages and the hashes of the backend servers on which the receiver
// is to preempt a batch item each.
func Encode(messages []*Message, preempt []uint32) ([]byte, error) {
	d := datagram{Messages: make([]packed, len(messages)), Preempt: packHashes(preempt)}
	for n, m := range messages {
		d.Messages[n] = m.pack()
	}
	return encoding.Marshal(d)
}

func packHashes(hashes []uint32) []byte {
	raw := make([]byte, 0, hashBytes*len(hashes))
	for _, hash := range hashes {
		raw = binary.BigEndian.AppendUint32(raw, hash)
	}
	return raw
}

func unpackHashes(raw []byte) []uint32 {
	if len(raw) == 0 {
		return nil
	}
	hashes := make([]uint32, 0, len(raw)/hashBytes)
	for ; len(raw) > 0; raw = raw[hashBytes:] {
		hashes = append(hashes, binary.BigEndian.Uint32(raw))
	}
	return hashes
}

func (m *Message) pack() packed {
	p := packed{Sender: m.Sender, Start: m.Start, Sequence: m.Sequence, Waiting: m.Waiting, Crashes: packCrashes(m.Crashes)}
	p.Loads = make([]byte, 0, loadBytes*len(m.Loads))
	for _, l := range m.Loads {
		p.Loads = binary.BigEndian.AppendUint32(p.Loads, l.Server)
		p.Loads = append(p.Loads, byte(min(l.Online, maxCount)), byte(min(l.Batch, maxCount)))
	}
	p.Loads = appendSpeeds(p.Loads, m.Speeds)
	p.Items = appendReports(packHashes(m.Items), m.Blame)
	for _, r := range m.Quota {
		p.Quota = binary.BigEndian.AppendUint32(p.Quota, r.Team)
		p.Quota = binary.BigEndian.AppendUint16(p.Quota, r.Admitted)
		p.Quota = binary.BigEndian.AppendUint16(p.Quota, r.Requested)
		p.Quota = append(p.Quota, r.Remaining)
	}
	for _, a := range m.Aborts {
		p.Aborts = binary.BigEndian.AppendUint32(p.Aborts, a.Server)
		p.Aborts = append(p.Aborts, byte(min(a.Age/ageUnit, maxCount)))
	}
	if m.Leaving {
		p.Flags |= flagLeaving
	}
	if m.StoreLost {
		p.Flags |= flagStoreLost
	}
	if m.Starting {
		p.Flags |= flagStarting
	}
	return p
}

func packCrashes(reports map[uint64]crash.Report) map[uint64]int {
	if len(reports) == 0 {
		return nil
	}
	numbers := make(map[uint64]int, 2*len(reports))
	for request, r := range reports {
		numbers[request] = r.Failures
		numbers[^request] = -1 - (int(r.Age/ageUnit)*sequenceRange + min(r.Sequence, sequenceRange-1))
	}
	return numbers
}

func unpackCrashes(numbers map[uint64]int) map[uint64]crash.Report {
	var reports map[uint64]crash.Report
	for request, n := range numbers {
		if n < 0 {
			continue
		}
		// Entries of the previous build report only the number of failures, each after the one before.
		r := crash.Report{Failures: min(n, maxFailures), Sequence: min(n, sequenceRange-1)}
		if rest := numbers[^request]; rest < 0 {
			r.Sequence = (-1 - rest) % sequenceRange
			r.Age = time.Duration((-1-rest)/sequenceRange) * ageUnit
		}
		if reports == nil {
			reports = map[uint64]crash.Report{}
		}
		reports[request] = r
	}
	return reports
}

// appendSpeeds appends speeds to packed loads. No load has two counts of 0, so an element of zeros
// separates them.
func appendSpeeds(raw []byte, speeds []speed.Report) []byte {
	if len(speeds) == 0 {
		return raw
	}
	raw = append(raw, make([]byte, loadBytes)...)
	for _, r := range speeds {
		raw = binary.BigEndian.AppendUint32(raw, ^r.Server)
		raw = append(raw, r.Level, r.Evidence)
	}
	return raw
}

func unpackSpeeds(raw []byte) []speed.Report {
	var speeds []speed.Report
	for ; len(raw) >= speedBytes; raw = raw[speedBytes:] {
		speeds = append(speeds, speed.Report{Server: ^binary.BigEndian.Uint32(raw), Level: raw[4], Evidence: raw[5]})
	}
	return speeds
}

// Decode is the reverse of Encode. It returns an error if raw isn't CBOR of the expected form, or a
// byte string isn't a multiple of its element's size.
func Decode(raw []byte) (messages []*Message, preempt []uint32, err error) {
	var d datagram
	if err := cbor.Unmarshal(raw, &d); err != nil {
		return nil, nil, err
	}
	if len(d.Preempt)%hashBytes != 0 {
		return nil, nil, fmt.Errorf("digest: preemption requests truncated: got %d bytes, want a multiple of %d", len(d.Preempt), hashBytes)
	}
	messages = make([]*Message, len(d.Messages))
	for n := range d.Messages {
		m, err := d.Messages[n].unpack()
		if err != nil {
			return nil, nil, err
		}
		messages[n] = m
	}
	return messages, unpackHashes(d.Preempt), nil
}

func (p *packed) unpack() (*Message, error) {
	if len(p.Loads)%loadBytes != 0 || len(p.Items)%hashBytes != 0 {
		return nil, fmt.Errorf("digest: loads or items truncated: got %d and %d bytes, want multiples of %d and %d", len(p.Loads), len(p.Items), loadBytes, hashBytes)
	}
	m := &Message{
		Sender: p.Sender, Start: p.Start, Sequence: p.Sequence, Waiting: p.Waiting, Crashes: unpackCrashes(p.Crashes),
		Leaving: p.Flags&flagLeaving != 0, StoreLost: p.Flags&flagStoreLost != 0, Starting: p.Flags&flagStarting != 0,
	}
	if len(p.Loads) > 0 {
		m.Loads = make([]pool.Load, 0, len(p.Loads)/loadBytes)
	}
	for b := p.Loads; len(b) > 0; b = b[loadBytes:] {
		if b[4] == 0 && b[5] == 0 {
			m.Speeds = unpackSpeeds(b[loadBytes:])
			break
		}
		m.Loads = append(m.Loads, pool.Load{Server: binary.BigEndian.Uint32(b), Online: int(b[4]), Batch: int(b[5])})
	}
	items, reports, err := splitReports(p.Items)
	if err != nil {
		return nil, err
	}
	m.Items, m.Blame = unpackHashes(items), reports
	if len(p.Aborts)%abortBytes != 0 {
		return nil, fmt.Errorf("digest: aborts truncated: got %d bytes, want a multiple of %d", len(p.Aborts), abortBytes)
	}
	for b := p.Aborts; len(b) > 0; b = b[abortBytes:] {
		m.Aborts = append(m.Aborts, pool.Abort{Server: binary.BigEndian.Uint32(b), Age: time.Duration(b[4]) * ageUnit})
	}
	if len(p.Quota)%quotaBytes != 0 {
		return nil, fmt.Errorf("digest: quotas truncated: got %d bytes, want a multiple of %d", len(p.Quota), quotaBytes)
	}
	for b := p.Quota; len(b) > 0; b = b[quotaBytes:] {
		m.Quota = append(m.Quota, quota.Report{
			Team: binary.BigEndian.Uint32(b), Admitted: binary.BigEndian.Uint16(b[4:]), Requested: binary.BigEndian.Uint16(b[6:]), Remaining: b[8],
		})
	}
	return m, nil
}
