// Package conns sends requests to backend servers over persistent connections and
// reports the outcome of each: not sent, answered, or unknown. It reads HTTP/1.1
// responses with net/http but manages the connections itself: net/http's client resends
// some requests on its own, and reuses connections on which unexpected bytes have arrived.
package conns
