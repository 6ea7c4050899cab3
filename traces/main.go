package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/sardinerock/sardinerock/trace"
)

func main() {
	folder := "traces"
	if len(os.Args) > 1 {
		folder = os.Args[1]
	}
	for _, deployment := range []string{trace.KesslingMarrow, trace.Goldfields} {
		if err := write(folder, deployment); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}

func write(folder, deployment string) error {
	t, err := trace.Generate(deployment, trace.Seed, trace.Length)
	if err != nil {
		return err
	}
	var lines bytes.Buffer
	if err := t.Write(&lines); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(folder, deployment+".jsonl"), lines.Bytes(), 0o644); err != nil {
		return err
	}
	raw, err := json.MarshalIndent(trace.BundleOf(t.Header), "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(folder, deployment+".bundle.json"), append(raw, '\n'), 0o644)
}
