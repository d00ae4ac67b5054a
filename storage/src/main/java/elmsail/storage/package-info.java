/**
 * Named records in a directory that survive the end of the process and a power loss. Each batch of
 * changes becomes one file with a new version number: the file is written under a temporary name,
 * synced and renamed, then the directory is synced. {@code Compaction} merges files as their number
 * grows. A corrupt file is reported by its name, and its content is never used.
 *
 * <p>{@link elmsail.storage.RecordStore} is the interface for other modules; {@link
 * elmsail.storage.DirectoryRecordStore} implements it with one writer thread.
 */
package elmsail.storage;
