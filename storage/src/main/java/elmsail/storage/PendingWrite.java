package elmsail.storage;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Changes of one call that wait for the disk. */
final class PendingWrite {
  final List<Item> items = new ArrayList<>();
  final CompletableFuture<Void> done = new CompletableFuture<>();

  /** As records in a file. */
  long bytes;

  /** {@code bytes} is null for a removal. */
  record Item(IndexEntry named, byte[] utf, long seq, byte[] bytes) {}
}
