// Package origin finds out which service and software version began a stream that a caller resumes, at any entry.
// An entry keeps the origins of the streams that it begins. While a service has several versions, it also notifies
// other entries of each, and an entry that doesn't know a stream queries them. Of a stream that no entry knows, the
// origin is known only if the service has had one version for as long as a stream can last.
package origin
