// Package decode decodes JSON and YAML documents into structs. It reports every
// unknown field, wrong type and duplicate field with its path and line.
package decode
