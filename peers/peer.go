package peers

import (
	"context"
	"net"
	"sync"

	"storj.io/drpc/drpcconn"

	"github.com/sardinerock/sardinerock/wire"
)

// peer is another entry with the connection to it.
type peer struct {
	Peer
	// pinging is set while a regular ping is in flight.
	pinging bool
	// pings counts the pings sent.
	pings int

	mu   sync.Mutex
	conn *drpcconn.Conn
}

// call pings the peer over the open connection, or over a new one.
func (p *peer) call(ctx context.Context, ping *wire.PeerPing) (*wire.PeerPong, error) {
	conn, err := p.connection(ctx)
	if err != nil {
		return nil, err
	}
	pong, err := wire.NewDRPCPeerClient(conn).Ping(ctx, ping)
	if err != nil {
		// The connection may be broken, so the next ping opens a new one.
		p.closeConn()
	}
	return pong, err
}

func (p *peer) connection(ctx context.Context) (*drpcconn.Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn != nil {
		return p.conn, nil
	}
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp", p.Instance.Address)
	if err != nil {
		return nil, err
	}
	p.conn = drpcconn.New(raw)
	return p.conn, nil
}

// closeConn closes the connection, if there is one. The next ping opens a new one.
func (p *peer) closeConn() {
	p.mu.Lock()
	conn := p.conn
	p.conn = nil
	p.mu.Unlock()
	if conn != nil {
		_ = conn.Close()
	}
}
