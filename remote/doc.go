// Package remote holds the HTTP adapters through which the system meets the
// platform: log service, instance list, weight store, model engines and plain
// services. Only these may have to change when a platform's real form differs.
package remote
