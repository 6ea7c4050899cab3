package digest

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/sardinerock/sardinerock/blame"
)

const (
	// separatorBytes is the size of the two hashes of 0 between the items and the reports of package blame: no item
	// is listed twice.
	separatorBytes = 2 * hashBytes
	// reportBytes is the size of a report without its causes: 1 byte each for the kind, the number of causes, the runs
	// and the trials, 4 each for the age, the id or the number of backend servers, the backend server and the time
	// that the run took. It is a multiple of hashBytes, as is causeBytes.
	reportBytes = 20
	causeBytes  = 8
	// reportUnit is the unit of times in reports.
	reportUnit = time.Millisecond
)

// appendReports appends reports to packed items.
func appendReports(raw []byte, reports []blame.Report) []byte {
	if len(reports) == 0 {
		return raw
	}
	raw = append(raw, make([]byte, separatorBytes)...)
	for _, r := range reports {
		id := r.ID
		if r.Kind == blame.KindVerdict {
			id = uint32(r.Servers)
		}
		raw = append(raw, byte(r.Kind), byte(len(r.Causes)), byte(min(r.Runs, maxCount)), byte(min(r.Trials, maxCount)))
		for _, number := range []uint32{uint32(r.Age / reportUnit), id, r.Server, uint32(r.Took / reportUnit)} {
			raw = binary.BigEndian.AppendUint32(raw, number)
		}
		for _, c := range r.Causes {
			raw = binary.BigEndian.AppendUint64(raw, uint64(c))
		}
	}
	return raw
}

// splitReports returns the packed items, and the reports that follow them.
func splitReports(raw []byte) (items []byte, reports []blame.Report, err error) {
	for n := 0; n+separatorBytes <= len(raw); n += hashBytes {
		if binary.BigEndian.Uint64(raw[n:]) == 0 {
			reports, err = unpackReports(raw[n+separatorBytes:])
			return raw[:n], reports, err
		}
	}
	return raw, nil, nil
}

func unpackReports(raw []byte) (reports []blame.Report, err error) {
	for len(raw) > 0 {
		if len(raw) < reportBytes || len(raw) < reportBytes+causeBytes*int(raw[1]) {
			return nil, fmt.Errorf("digest: report truncated: got %d bytes", len(raw))
		}
		number := func(n int) uint32 { return binary.BigEndian.Uint32(raw[4*(n+1):]) }
		r := blame.Report{
			Kind: blame.Kind(raw[0]), Runs: int(raw[2]), Trials: int(raw[3]),
			Age: time.Duration(number(0)) * reportUnit, ID: number(1), Server: number(2), Took: time.Duration(number(3)) * reportUnit,
		}
		if r.Kind == blame.KindVerdict {
			r.ID, r.Servers = 0, int(r.ID)
		}
		count := int(raw[1])
		raw = raw[reportBytes:]
		for range count {
			r.Causes = append(r.Causes, blame.Cause(binary.BigEndian.Uint64(raw)))
			raw = raw[causeBytes:]
		}
		reports = append(reports, r)
	}
	return reports, nil
}
