// Package plain turns calls of plain services into requests, and writes their answers.
package plain
