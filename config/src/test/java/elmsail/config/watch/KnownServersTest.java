package elmsail.config.watch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import elmsail.config.Examples;
import elmsail.config.ServerEntry;
import elmsail.config.ServerList;
import elmsail.runtime.ElmsailException;
import java.util.List;
import org.junit.jupiter.api.Test;

class KnownServersTest {
  private static final List<ServerEntry> A = List.of(Examples.server("i-a"));
  private static final List<ServerEntry> B = List.of(Examples.server("i-b"));
  private final KnownServers known = new KnownServers();

  private boolean response(long epoch, long version, List<ServerEntry> list, long takenAt) {
    return known.response(epoch, version, list == null ? null : ServerList.encode(list), takenAt);
  }

  @Test
  void higherVersionsComeInAndLowerOnesNever() {
    assertThat(response(2, 5, A, 100), equalTo(true));
    assertThat(response(2, 4, B, 200), equalTo(false));
    assertThat(response(1, 99, B, 200), equalTo(false));
    assertThat(known.servers(), equalTo(A));
    assertThat(known.ageMs(300), equalTo(200L));
    assertThat(response(3, 1, B, 90), equalTo(true));
    assertThat(known.servers(), equalTo(B));
    assertThat(known.epoch(), equalTo(3L));
    assertThat(known.version(), equalTo(1L));
  }

  @Test
  void theSameVersionOnlyGetsYounger() {
    response(1, 1, A, 100);
    assertThat(response(1, 1, null, 250), equalTo(false));
    assertThat(response(1, 1, null, 150), equalTo(false));
    assertThat(known.ageMs(300), equalTo(50L));
    assertThat(response(1, 2, null, 299), equalTo(false));
    assertThat(known.version(), equalTo(1L));
    assertThat(known.ageMs(300), equalTo(50L));
  }

  @Test
  void whatWasTakenLaterCountsAndVersionsStay() {
    assertThat(known.ageMs(50), equalTo(Long.MAX_VALUE));
    response(1, 1, A, 100);
    assertThat(known.fetched(B, 200), equalTo(true));
    assertThat(known.servers(), equalTo(B));
    assertThat(known.version(), equalTo(1L));
    assertThat(known.ageMs(300), equalTo(100L));
    assertThat(response(1, 1, null, 250), equalTo(true));
    assertThat(known.servers(), equalTo(A));
  }

  @Test
  void aListThatCannotBeReadChangesNothing() {
    response(1, 1, A, 100);
    assertThrows(ElmsailException.class, () -> known.response(1, 2, new byte[] {'{'}, 200));
    assertThat(known.version(), equalTo(1L));
    assertThat(known.servers(), equalTo(A));
    assertThat(known.ageMs(300), equalTo(200L));
  }
}
