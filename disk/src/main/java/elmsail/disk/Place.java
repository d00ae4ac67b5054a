package elmsail.disk;

/**
 * Where the newest safe change of a name lies. {@code bytes} is null for a removal and for a value over
 * {@link Index#SMALL_BYTES}, which is read from its file.
 *
 * @param length of the whole record with its checksum
 */
record Place(long seq, boolean value, byte[] bytes, VersionOnDisk file, long at, int length) {
}
