// Package demo shows a whole fleet in one process, with a backend server killed on the way.
package demo
