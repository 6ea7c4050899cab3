// Package verify checks what arrives as a response of HTTP/1.1: whether its head follows the grammar, and whether an end that
// only the end of the connection marks can be that of a whole response.
package verify
