package batch

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sardinerock/sardinerock/capa/meter"
	"github.com/sardinerock/sardinerock/capa/sample"
	"github.com/sardinerock/sardinerock/fakes"
	"github.com/sardinerock/sardinerock/remote"
)

// countingListener counts the payload bytes of all its connections.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return sample.Count(conn, &l.bytes), nil
}

// Adapter gives what the adapter of the log service adds to a read or an append, by the record's length.
func Adapter(r *meter.Report) error {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	listener := &countingListener{Listener: raw}
	server := &http.Server{Handler: &fakes.Log{}, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	log := &remote.Log{Sender: remote.Sender{URL: "http://" + raw.Addr().String()}}
	ctx := context.Background()
	var appendBytes, readBytes, readCPU []meter.Point
	const calls = 200
	for _, size := range []int{0, 1451, 15000} {
		next := int64(0)
		before := listener.bytes.Load()
		for range calls {
			if next, err = log.Append(ctx, "s", make([]byte, size)); err != nil {
				return err
			}
		}
		appendBytes = append(appendBytes, meter.At(float64(size), float64(listener.bytes.Load()-before)/calls))
		before, used := listener.bytes.Load(), meter.CPU()
		for range calls {
			if _, err := log.Read(ctx, "s", next, 0); err != nil {
				return err
			}
		}
		readBytes = append(readBytes, meter.At(float64(size), float64(listener.bytes.Load()-before)/calls))
		readCPU = append(readCPU, meter.At(float64(size), float64((meter.CPU()-used).Microseconds())/calls))
	}
	r.Slope("append through the log's adapter: bytes, both directions", "B", "byte of the record", appendBytes...)
	r.Slope("read of one record through the log's adapter: bytes, both directions", "B", "byte of the record", readBytes...)
	r.Slope("read of one record through the log's adapter: CPU, both ends", "us", "byte of the record", readCPU...)
	return nil
}
