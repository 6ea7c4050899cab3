// Package loop runs what has to be done at intervals.
package loop
