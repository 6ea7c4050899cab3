// Package cursor determines which item of a batch job starts next.
package cursor
