// Command traces writes the traces of both deployments anew, each with the bundle
// under which it is played: go run ./traces traces
package main
