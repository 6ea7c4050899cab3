// Package blobs stores the large values of batch jobs: the bodies of items, the texts of
// results, and the progress of items. All entries follow the small records that hold the
// decisions and the locations of the values. A value itself is read only by the entry that
// needs it, so that what an entry reads does not grow with the number of entries.
package blobs
