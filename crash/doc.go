// Package crash counts the failures of backend servers by the request that they ran. It recognizes
// a request that crashes each backend server that runs it, also if the request comes again through
// other entries.
package crash
