// Package grants says what a bundle in force lets callers do: whose a bearer
// token is, what a model's name stands for, and the request that comes of it.
package grants
