package willowdoor.lab.peers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import org.junit.jupiter.api.Test;

/** What the stand-ins keep, without sockets. */
class StandInsTest {

  @Test
  void aNumberIsForgottenWhenItsTimeIsOverAndNoLaterCallExtendsIt() {
    Counter counter = new Counter();
    assertEquals(2.5, counter.add(Counter.Call.parse("incr a 2.5 1000"), 0));
    assertEquals(2.0, counter.add(Counter.Call.parse("incr a -0.5 60000"), 999_000));
    assertEquals(1.0, counter.add(Counter.Call.parse("incr a 1 1000"), 1_000_000));
    assertEquals(0.0, counter.add(Counter.Call.parse("incr b 0 99999999"), 0));
    assertEquals("0.3", Counter.text(0.1 + 0.2));
    assertEquals("100", Counter.text(100));
  }

  @Test
  void whatIsNoCallIsNone() {
    for (String line :
        List.of(
            "incr a 1",
            "incr a x 1000",
            "incr a 1 0",
            "incr a 2e9 10",
            "decr a 1 10",
            "incr " + "n".repeat(65) + " 1 10",
            "incr  1 10",
            "")) {
      assertNull(Counter.Call.parse(line), line);
    }
  }

  @Test
  void newsIsWhatChangedOrTheWholeList() {
    HostBook book = new HostBook();
    for (String id : List.of("s1", "s2", "s3")) {
      book.put(new HostBook.Host(id, "a", 0, "active", 0));
    }
    book.put(new HostBook.Host("s1", "a", 0, "leaving", 0));
    book.put(new HostBook.Host("s1", "a", 0, "left", 0));
    assertEquals(List.of("s1"), ids(book.since(3)));
    assertEquals("left", book.since(3).hosts().iterator().next().state());
    assertEquals(List.of(), ids(book.since(5)));
    assertEquals(List.of("s2", "s3"), ids(book.since(-1)), "the whole list has none that left");
    assertEquals(List.of("s2", "s3"), ids(book.since(6)), "a version of another history");
    assertEquals(5, book.since(2).version());
    for (int i = 0; i < 10_000; i++) {
      book.put(new HostBook.Host("s2", "a", 0, "active", i));
    }
    assertEquals(true, book.since(4).full(), "too far back");
    assertEquals(List.of("s2"), ids(book.since(book.version() - 5)));
  }

  private static List<String> ids(HostBook.News news) {
    return news.hosts().stream().map(HostBook.Host::id).toList();
  }
}
