// Package storage keeps one consensus member's durable state in a data folder:
// a segmented write-ahead log with CRC32C checksums, snapshots, and the
// member's identity.
//
// Every file but the log's tail is replaced as a whole (temporary file, sync,
// rename, sync of the folder). A torn last record is cut on opening; any other
// damage is a DamagedError. After a failed write or sync the store refuses all
// further writes with ErrDead, because it is not known what is durable.
package storage
