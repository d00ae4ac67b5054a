package willowdoor.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import willowdoor.discovery.Entry.State;
import willowdoor.discovery.ListJson.BadList;
import willowdoor.discovery.ListJson.Message;

/** The versioned list and its JSON format, without sockets or disk. */
class HostListTest {

  static Entry entry(String id, State state, long startedMs) {
    return new Entry(id, "127.0.0.1:7070", "a", "m2", 3, state, 1, startedMs, 0);
  }

  private static Entry active(String id) {
    return entry(id, State.ACTIVE, 0);
  }

  private static HostList list(int version, String... ids) {
    HostList list = HostList.whole(0, List.of());
    for (int v = 1; v <= version; v++) {
      list = list.with(v, List.of(active(ids[v - 1])));
    }
    return list;
  }

  @Test
  void changeReturnsANewListAndKeepsTheOldOne() {
    HostList one = list(1, "s-1");
    HostList two = one.with(2, List.of(active("s-1").in(State.LEAVING)));
    assertEquals(State.ACTIVE, one.entry("s-1").state());
    assertEquals(State.LEAVING, two.entry("s-1").state());
    assertEquals(1, one.changedAt("s-1"));
    assertEquals(2, two.changedAt("s-1"));
    assertNull(two.entry("s-2"));
    assertThrows(IllegalArgumentException.class, () -> two.with(2, List.of()));
  }

  @Test
  void entryThatLeftIsAChangeButNotInTheWholeList() {
    HostList list = list(2, "s-1", "s-2").with(3, List.of(active("s-1").in(State.LEFT)));
    assertEquals(List.of(active("s-2")), list.present());
    assertEquals(Optional.of(List.of(active("s-1").in(State.LEFT))), list.since(2));
    assertEquals(Optional.of(List.of()), list.since(3));
  }

  @Test
  void changesAreMergedInTheOrderOfTheLastChanges() {
    HostList list =
        list(3, "s-1", "s-2", "s-3")
            .with(4, List.of(active("s-1").in(State.LEAVING)))
            .with(5, List.of(active("s-1").in(State.LEFT)));
    assertEquals(
        Optional.of(List.of(active("s-2"), active("s-3"), active("s-1").in(State.LEFT))),
        list.since(1));
  }

  /** The version is too old, in the future, or of another history. */
  @ParameterizedTest
  @ValueSource(longs = {-1, 0, 49, 60, Long.MAX_VALUE})
  void unknownVersionRequiresTheWholeList(long since) {
    HostList list = HostList.whole(50, List.of(active("s-1"))).with(51, List.of(active("s-2")));
    assertEquals(Optional.empty(), list.since(since));
  }

  @Test
  void oldEntriesThatLeftAreDropped() {
    HostList list = list(1, "s-0");
    for (int i = 1; i <= 1_001; i++) {
      list = list.with(2L * i, List.of(active("s-" + i)));
      list = list.with(2 * i + 1, List.of(active("s-" + i).in(State.LEFT)));
    }
    assertNull(list.entry("s-1"));
    assertEquals(Optional.empty(), list.since(2));
    assertEquals(1_000, list.since(3).orElseThrow().size());
  }

  /**
   * A watcher that applies the changes from any version on has the same entries as the whole list.
   */
  @Test
  void applyingChangesEqualsTheWholeList() {
    Random random = new Random(3);
    HostList list = HostList.whole(0, List.of());
    Map<String, Entry> followed = new LinkedHashMap<>();
    long at = 0;
    for (int version = 1; version < 3_000; version++) {
      State state = State.values()[random.nextInt(3)];
      list =
          list.with(version, List.of(entry("s-" + random.nextInt(40), state, random.nextInt(5))));
      if (random.nextInt(4) == 0) {
        for (Entry e : list.since(at).orElseThrow()) {
          followed.remove(e.id());
          if (e.state() != State.LEFT) {
            followed.put(e.id(), e);
          }
        }
        at = version;
        assertEquals(list.present(), new ArrayList<>(followed.values()));
      }
    }
  }

  @Test
  void jsonMatchesThePlatformsFormat() throws BadList {
    Entry e = new Entry("s-5be2a07c", "10.1.0.18:7070", "a", "m2", 3, State.ACTIVE, 1, 0, 9_000);
    String text =
        "{\"version\":41,\"full\":true,\"servers\":[{\"id\":\"s-5be2a07c\","
            + "\"addr\":\"10.1.0.18:7070\",\"zone\":\"a\",\"kind\":\"m2\",\"cell\":3,\"state\":\"active\","
            + "\"weight\":1.0,\"started_ms\":0}]}";
    Message message = new Message(41, true, List.of(e));
    assertEquals(text, new String(ListJson.write(message, false), StandardCharsets.UTF_8));
    assertEquals(message, ListJson.read(ListJson.write(message, true)));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "{\"servers\":[{\"id\":\"s\" | message is not valid JSON",
        "[] | message is not a JSON object",
        "{\"servers\":[]} x | message is not valid JSON",
        "{\"servers\":[]}{} | content follows the JSON object",
        "{\"servers\":[],\"servers\":[]} | message is not valid JSON: Duplicate field 'servers'",
        "{} | servers is not a list",
        "{\"servers\":[7]} | servers[0] is not an object",
        "{\"servers\":[{\"addr\":\"127.0.0.1:1\"}]} | servers[0].id is not a short word",
        "{\"servers\":[{\"id\":\"a b\",\"addr\":\"127.0.0.1:1\"}]} | servers[0].id is not a short word",
        "{\"servers\":[{\"id\":\"s\",\"addr\":\"host:1\"}]} | servers[0].addr is not a numeric address",
        "{\"servers\":[{\"id\":\"s\",\"addr\":\"127.0.0.1:0\"}]} | servers[0].addr is not a numeric address",
        "{\"servers\":[{\"id\":\"s\",\"addr\":\"127.0.0.1:70000\"}]} | servers[0].addr is not a numeric",
        "{\"servers\":[{\"id\":\"s\",\"addr\":\"127.0.0.1:1\",\"state\":\"up\"}]}"
            + " | servers[0].state is unknown: up",
        "{\"servers\":[{\"id\":\"s\",\"addr\":\"127.0.0.1:1\",\"weight\":0}]}"
            + " | servers[0].weight is not a number",
        "{\"servers\":[{\"id\":\"s\",\"addr\":\"127.0.0.1:1\",\"cell\":1.5}]}"
            + " | servers[0].cell is not a whole",
        "{\"servers\":[{\"id\":\"s\",\"addr\":\"127.0.0.1:1\",\"started_ms\":-1}]}"
            + " | servers[0].started_ms is not",
        "{\"servers\":[{\"id\":\"s\",\"addr\":\"127.0.0.1:1\",\"lease_ms\":1e3}]}"
            + " | servers[0].lease_ms is not",
        "{\"servers\":[{\"id\":\"s\",\"addr\":\"127.0.0.1:1\"},{\"id\":\"s\",\"addr\":\"127.0.0.1:2\"}]}"
            + " | servers[1].id is not unique: s"
      })
  void invalidListIsRejectedWithAReason(String text, String reason) {
    BadList bad =
        assertThrows(
            BadList.class, () -> ListJson.readServers(text.getBytes(StandardCharsets.UTF_8)));
    assertEquals(
        reason,
        bad.getMessage().substring(0, Math.min(reason.length(), bad.getMessage().length())));
  }
}
