package nodes

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/sardinerock/sardinerock/capa/meter"
	"github.com/sardinerock/sardinerock/capa/sample"
	"github.com/sardinerock/sardinerock/wire"
)

// answeringPeer answers pings with as much as it gets.
type answeringPeer struct{}

// Ping implements the generated server interface.
func (answeringPeer) Ping(_ context.Context, p *wire.PeerPing) (*wire.PeerPong, error) {
	return &wire.PeerPong{EntryId: p.EntryId, ConfigVersion: p.ConfigVersion, Usage: p.Usage}, nil
}

// Pings gives what a ping between entries costs, by the callers whose use it tells.
func Pings(r *meter.Report) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	mux := drpcmux.New()
	if err := wire.DRPCRegisterPeer(mux, answeringPeer{}); err != nil {
		return err
	}
	go func() { _ = drpcserver.New(mux).Serve(ctx, listener) }()
	raw, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		return err
	}
	var sent atomic.Int64
	conn := drpcconn.New(sample.Count(raw, &sent))
	defer func() { _ = conn.Close() }()
	client := wire.NewDRPCPeerClient(conn)
	var bytes, cpuTime []meter.Point
	for _, callers := range []int{0, 50, 200, 1800} {
		ping := &wire.PeerPing{EntryId: "entry-0001", ConfigVersion: 38000}
		for i := range callers {
			ping.Usage = append(ping.Usage, &wire.Usage{Caller: fmt.Sprintf("team%04d-app", i), Requests: 600, Tokens: 300000})
		}
		const pings = 500
		before, used := sent.Load(), meter.CPU()
		for range pings {
			if _, err := client.Ping(ctx, ping); err != nil {
				return err
			}
		}
		bytes = append(bytes, meter.At(float64(callers), float64(sent.Load()-before)/pings))
		cpuTime = append(cpuTime, meter.At(float64(callers), float64((meter.CPU()-used).Microseconds())/pings))
	}
	r.Slope("ping between entries and answer: payload bytes", "B", "caller told", bytes...)
	r.Slope("ping between entries and answer: CPU, both ends", "us", "caller told", cpuTime...)
	return nil
}
