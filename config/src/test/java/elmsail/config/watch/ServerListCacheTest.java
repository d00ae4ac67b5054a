package elmsail.config.watch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import elmsail.config.SampleConfigs;
import elmsail.config.ServerEntry;
import elmsail.config.ServerListCodec;
import elmsail.runtime.ElmsailException;
import java.util.List;
import org.junit.jupiter.api.Test;

class ServerListCacheTest {
  private static final List<ServerEntry> A = List.of(SampleConfigs.server("i-a"));
  private static final List<ServerEntry> B = List.of(SampleConfigs.server("i-b"));
  private final ServerListCache cache = new ServerListCache();

  private boolean offerWatched(long epoch, long version, List<ServerEntry> list, long fetchedAtMs) {
    return cache.offerWatched(
        epoch, version, list == null ? null : ServerListCodec.encode(list), fetchedAtMs);
  }

  @Test
  void acceptsHigherVersionsOnly() {
    assertThat(offerWatched(2, 5, A, 100), equalTo(true));
    assertThat(offerWatched(2, 4, B, 200), equalTo(false));
    assertThat(offerWatched(1, 99, B, 200), equalTo(false));
    assertThat(cache.servers(), equalTo(A));
    assertThat(cache.ageMs(300), equalTo(200L));
    assertThat(offerWatched(3, 1, B, 90), equalTo(true));
    assertThat(cache.servers(), equalTo(B));
    assertThat(cache.epoch(), equalTo(3L));
    assertThat(cache.version(), equalTo(1L));
  }

  @Test
  void sameVersionOnlyRefreshesTheAge() {
    offerWatched(1, 1, A, 100);
    assertThat(offerWatched(1, 1, null, 250), equalTo(false));
    assertThat(offerWatched(1, 1, null, 150), equalTo(false));
    assertThat(cache.ageMs(300), equalTo(50L));
    assertThat(offerWatched(1, 2, null, 299), equalTo(false));
    assertThat(cache.version(), equalTo(1L));
    assertThat(cache.ageMs(300), equalTo(50L));
  }

  @Test
  void listFetchedLaterIsUsedAndTheWatchedVersionStays() {
    assertThat(cache.ageMs(50), equalTo(Long.MAX_VALUE));
    offerWatched(1, 1, A, 100);
    assertThat(cache.offerOwn(B, 200), equalTo(true));
    assertThat(cache.servers(), equalTo(B));
    assertThat(cache.version(), equalTo(1L));
    assertThat(cache.ageMs(300), equalTo(100L));
    assertThat(offerWatched(1, 1, null, 250), equalTo(true));
    assertThat(cache.servers(), equalTo(A));
  }

  @Test
  void malformedListChangesNothing() {
    offerWatched(1, 1, A, 100);
    assertThrows(ElmsailException.class, () -> cache.offerWatched(1, 2, new byte[] {'{'}, 200));
    assertThat(cache.version(), equalTo(1L));
    assertThat(cache.servers(), equalTo(A));
    assertThat(cache.ageMs(300), equalTo(200L));
  }
}
