// Package httpd is the HTTP interface of an entry for callers and operators. It
// translates the common model-server API into requests and jobs, and their results
// into responses.
package httpd
