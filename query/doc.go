// Package query sends queries to single peers in datagrams and returns their answers.
package query
