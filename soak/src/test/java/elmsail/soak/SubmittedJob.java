package elmsail.soak;

import java.util.List;

/** A batch job as its client sends it. */
record SubmittedJob(String id, String route, List<Item> items) {

  /** One item: where it goes, its decoded body and its tokens. */
  record Item(String id, String lane, String body, long tokens) {}

  long tokens() {
    return items.stream().mapToLong(Item::tokens).sum();
  }
}
