// Package digest defines the messages in which entries send their state to each other, and
// their encoding in datagrams.
package digest
