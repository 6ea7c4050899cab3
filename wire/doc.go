// Package wire holds the frames that entries and sides exchange over drpc; its
// Go code is generated from wire.proto by `make generate`.
package wire
