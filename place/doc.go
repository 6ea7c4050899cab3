// Package place decides which backend server holds which models, and has the
// side beside each engine bring the engine there.
package place
