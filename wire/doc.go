// Package wire holds the messages that entries exchange over drpc with sides and
// with each other; its Go code is generated from wire.proto by `make generate`.
package wire
