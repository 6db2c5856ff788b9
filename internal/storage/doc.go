// Package storage keeps one consensus member's durable state in a data folder:
// a segmented write-ahead log with CRC32C checksums, snapshots, and the
// member's identity.
//
// Records are appended to the last log segment. Every other change replaces a whole
// file: it writes a temporary file, syncs it, renames it and syncs the folder. Open
// truncates a torn record at the end of the log and reports any other damage as a
// DamagedError. After a failed write or sync it is unknown what is durable, so the
// store rejects all further writes with ErrFailed.
package storage
