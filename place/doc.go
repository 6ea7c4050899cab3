// Package place decides which backend server holds which models, and reconciles
// the engine beside each side with that plan.
package place
