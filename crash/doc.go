// Package crash counts the failures of backend servers by the request that they ran, at this entry and at
// others. It recognizes a request that ends each backend server that runs it, also if it is sent again
// through other entries, and distinguishes it from requests that were in progress there or when many backend servers were
// lost. It has no network and no clock: the time is an argument.
package crash
