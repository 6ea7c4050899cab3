// Package client calls entries as callers do, for the demo and the replay, and
// checks that each answer and each item's result is the right one.
package client
