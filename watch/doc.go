// Package watch follows one topic of the platform's store: each change in
// order, from any gap on with the newest record of each key. On it stand the
// view of the configuration, of the backend servers and of the other entries.
package watch
