// Package forms implements the JSON formats of the OpenAI-compatible HTTP API: it parses
// the bodies of completion requests and the lines of batch input files, and builds
// answers, batches, files and errors.
package forms
