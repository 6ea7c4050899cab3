// Package ticker calls functions at fixed intervals.
package ticker
