// Command sardinerock serves online and batch model inference on one fleet.
package main

import (
	"os"

	"github.com/sardinerock/sardinerock/clis"
)

func main() {
	p := &clis.Program{Args: os.Args[1:], Out: os.Stdout, Err: os.Stderr}
	os.Exit(p.Run())
}
