package elmsail.storage;

/**
 * The location of a record in a file.
 *
 * @param seq the sequence number of the change
 * @param isValue true for a value, false for a removal
 * @param bytes the value; null for a removal, and for a value of more than {@link
 *     RecordIndex#MAX_IN_MEMORY_BYTES}, which is read from its file
 * @param offset of the record in the file, in bytes
 * @param length of the whole record with its checksum, in bytes
 */
record RecordLocation(
    long seq, boolean isValue, byte[] bytes, VersionFile file, long offset, int length) {}
