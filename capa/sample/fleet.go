package sample

import (
	"fmt"
	"net"
	"sync/atomic"

	"github.com/sardinerock/sardinerock"
)

// Instances returns a fleet of one region with one entry for each 30 sides.
func Instances(entries, sides int) (all, near, backends []sardinerock.Instance) {
	add := func(n int, role sardinerock.Role) (out []sardinerock.Instance) {
		for i := range n {
			out = append(out, sardinerock.Instance{
				ID: fmt.Sprintf("i-%s-%08d", role, i), Role: role, Region: "region-1", Zone: fmt.Sprintf("region-1-%c", 'a'+i%3),
				Address: fmt.Sprintf("10.1.%d.%d:7400", i/250, i%250),
			})
		}
		return out
	}
	near, backends = add(entries, sardinerock.RoleEntry), add(sides, sardinerock.RoleSide)
	return append(append(all, near...), backends...), near, backends
}

// Conn is a connection whose payload bytes in both directions are counted.
type Conn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Count wraps a connection so that its bytes are added to bytes.
func Count(conn net.Conn, bytes *atomic.Int64) Conn { return Conn{Conn: conn, bytes: bytes} }
