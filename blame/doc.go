// Package blame decides which part of a prompt ends the backend servers that begin to write an answer on it, from the
// runs that broke off at all entries, and which requests with such a part are sent. It uses no network.
package blame
