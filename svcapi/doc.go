// Package svcapi converts HTTP calls of plain services into requests and writes the
// services' responses.
package svcapi
