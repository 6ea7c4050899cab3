// Package side implements the process beside each backend server. All requests
// to the backend server pass through its gate, and only this process loads and
// unloads models there.
package side
