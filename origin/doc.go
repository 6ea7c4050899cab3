// Package origin finds out which service and software version began a stream that a caller resumes, at any entry.
// An entry keeps the origins of the streams that it begins. While a service has several versions, it also notifies
// other entries of each, and an entry that doesn't know a stream queries them. Of a stream that no entry knows, the
// records of the store show the origin, also after the loss of all entries: a version is on record before a stream begins
// at it, and so is the stream, unless it begins at the version that was there before all others.
package origin
