// Package cursor says which item of a job starts next.
package cursor
