// Command traces generates the traces of both deployments, each with the bundle
// for its replay, into a folder: go run ./traces traces
package main
