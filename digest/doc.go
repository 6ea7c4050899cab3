// Package digest holds what entries tell each other of themselves, and its form in datagrams.
package digest
