// Package launch runs the fakes of the platform's services and of backend
// servers as processes with their settings: the "standin" commands.
package launch
