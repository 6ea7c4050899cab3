// Package grants applies the bundle in force to calls: it finds the caller of a bearer token, resolves
// model names by the caller's grants, and builds the request.
package grants
