// Package audit reads the log lines of several processes and reports what happened to
// one request, batch job or item.
package audit
