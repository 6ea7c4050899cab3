// Package remote holds the HTTP clients of the platform's services (log
// service, instance list, weight store) and of backend servers (model engines
// and plain services). If a platform's real interface differs, only these
// clients have to change.
package remote
