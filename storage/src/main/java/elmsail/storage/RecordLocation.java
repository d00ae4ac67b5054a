package elmsail.storage;

/**
 * Where the newest safe change of a name lies. {@code bytes} is null for a removal and for a value
 * over {@link RecordIndex#MAX_IN_MEMORY_BYTES}, which is read from its file.
 *
 * @param length of the whole record with its checksum
 */
record RecordLocation(
    long seq, boolean isValue, byte[] bytes, VersionFile file, long offset, int length) {}
