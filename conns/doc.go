// Package conns sends requests to backend servers over kept connections and
// tells exactly what became of each: not run, answered, or unknown. It writes
// and reads HTTP/1.1 with net/http's own code but keeps the connections itself:
// net/http's client sends some requests again by its own decision, and keeps
// connections whose next bytes belong to nobody.
package conns
