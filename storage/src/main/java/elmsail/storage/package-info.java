/**
 * Named records in a directory that survive the end of the process and a power loss. Each batch of
 * changes makes one file of a new version: written under a temporary name, synced, renamed, its
 * directory synced. Files are merged as they become many ({@code Compaction}). A corrupt file is
 * reported by its name, and its content is never used.
 *
 * <p>{@link elmsail.storage.RecordStore} is what the other modules use; {@link
 * elmsail.storage.DirectoryRecordStore} implements it, with a thread that does all writing.
 */
package elmsail.storage;
