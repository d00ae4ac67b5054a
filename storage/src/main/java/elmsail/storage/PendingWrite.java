package elmsail.storage;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Changes of one call that wait for the disk. */
final class PendingWrite {
  final List<Item> records = new ArrayList<>();
  final CompletableFuture<Void> completion = new CompletableFuture<>();

  /** As records in a file. */
  long bytes;

  /** {@code bytes} is null for a removal. */
  record Item(IndexEntry entry, byte[] nameUtf8, long seq, byte[] bytes) {}
}
