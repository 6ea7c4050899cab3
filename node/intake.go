package node

import (
	"net"
	"net/http"
	"runtime/debug"

	"github.com/sardinerock/sardinerock"
	"github.com/sardinerock/sardinerock/budget"
	"github.com/sardinerock/sardinerock/idle"
	"github.com/sardinerock/sardinerock/intake"
	"github.com/sardinerock/sardinerock/proxy"
	"github.com/sardinerock/sardinerock/shed"
)

// serveClients serves callers, peers, readiness checks and metrics requests, each within its share of the memory and the
// descriptors of this process. The first server is that of callers.
func (n *Node) serveClients(callers, peers, ready, metrics net.Listener, idleConns *idle.Conns) []*http.Server {
	shares := budget.Divide(n.Settings.MemoryBytes, n.Settings.Descriptors)
	if n.Settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(shares.RuntimeBytes)
	}
	shedding := &shed.Listener{Listener: callers, Limiter: &shed.Limiter{}, Events: n.Events, Metrics: n.Metrics}
	callerListener := n.newIntake("callers", shedding, shares.Callers)
	callerListener.Limits = n.callerLimits
	callerListener.Refused = func(c net.Conn) { shedding.State(c, http.StateClosed) }
	callerServer := n.serveIntake(callerListener, n.callerHandler())
	// The configuration bounds callers' heads.
	callerServer.ReadHeaderTimeout, callerServer.MaxHeaderBytes = intake.MaxHeadTimeout, http.DefaultMaxHeaderBytes
	callerServer.ConnState = func(c net.Conn, s http.ConnState) {
		callerListener.State(c, s)
		idleConns.State(c, s)
		if accepted, ok := c.(*intake.Conn); ok {
			shedding.State(accepted.NetConn(), s)
		}
	}
	peerHandler := n.shareServer.Handler(n.lease.Handler(proxy.FromPeer(n.callerHandler())))
	servers := []*http.Server{
		callerServer,
		n.serveIntake(n.newIntake("peers", peers, shares.Peers), peerHandler),
		n.serveIntake(n.newIntake("checks", ready, shares.Checks), http.HandlerFunc(n.serveReady)),
		n.serveIntake(n.newIntake("metrics", metrics, shares.Checks), http.HandlerFunc(n.serveMetrics)),
	}
	for i, s := range servers {
		n.serve(s, n.intakes[i])
	}
	return servers
}

func (n *Node) newIntake(name string, l net.Listener, share budget.Limits) *intake.Listener {
	in := &intake.Listener{Listener: l, Name: name, Budget: &budget.Budget{Limits: share}, Events: n.Events, Metrics: n.Metrics}
	n.intakes = append(n.intakes, in)
	return in
}

func (n *Node) serveIntake(l *intake.Listener, h http.Handler) *http.Server {
	return &http.Server{
		Handler: intake.Handler(h), ReadHeaderTimeout: intake.HeadTimeout, MaxHeaderBytes: maxPlainHead,
		ConnContext: intake.ConnContext, ConnState: l.State,
	}
}

// callerLimits returns the limits of the configuration in force.
func (n *Node) callerLimits() sardinerock.CallerLimits {
	if t := n.table.Current(); t != nil {
		return t.Limits
	}
	return sardinerock.CallerLimits{}
}
