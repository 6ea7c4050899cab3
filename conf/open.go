package conf

import (
	"errors"
	"fmt"
	"net"
	"os"
)

// Listen opens a TCP listener on the address given by a flag. Errors name the flag.
func Listen(flag, address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("--%s: %w", flag, err)
	}
	return l, nil
}

// ReadFile reads a file named by an argument. The error for a missing file contains its name.
func ReadFile(name string) ([]byte, error) {
	raw, err := os.ReadFile(name)
	if errors.Is(err, os.ErrNotExist) {
		return nil, fmt.Errorf("%s: no such file", name)
	}
	return raw, err
}
