package elmsail.controlplane;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * Compares the status of changes according to the bounded history with the status according to a
 * history that drops nothing. Guards against a final status for a change whose outcome the bounded
 * history cannot prove.
 */
class ConfigHistoryTest {
  private static final int CHAINS = 20;
  private static final int CHANGES = 1_500;
  private static final int STATUS_CHECKS_PER_CHANGE = 6;

  private record Change(long base, String body) {
    byte[] bytes() {
      return body.getBytes(StandardCharsets.UTF_8);
    }

    byte[] digest() {
      return ConfigHistory.replacementDigest(base, bytes());
    }
  }

  private static ConfigHistory appendAndDecode(
      ConfigHistory history, long newVersion, Change change) {
    return ConfigHistory.decode(
        history.append(newVersion, change.bytes(), change.digest()).encode());
  }

  @Test
  void statusAgreesWithUnboundedHistory() {
    Map<ConfigChangeStatus, Integer> counts = new EnumMap<>(ConfigChangeStatus.class);
    for (int seed = 1; seed <= CHAINS; seed++) {
      checkRandomChain(seed, counts);
    }
    System.out.println("statuses of changes in " + CHAINS + " chains: " + counts);
    for (ConfigChangeStatus each : ConfigChangeStatus.values()) {
      assertThat(each.name(), counts.getOrDefault(each, 0), greaterThan(100));
    }
  }

  private static void checkRandomChain(int seed, Map<ConfigChangeStatus, Integer> counts) {
    Random random = new Random(seed);
    // All committed changes by base; none is ever dropped.
    TreeMap<Long, Change> committed = new TreeMap<>();
    List<Long> versions = new ArrayList<>(List.of(0L));
    ConfigHistory history = ConfigHistory.EMPTY;
    for (int i = 0; i < CHANGES; i++) {
      for (int q = 0; q < STATUS_CHECKS_PER_CHANGE; q++) {
        Change queried = randomChange(random, versions, committed);
        ConfigChangeStatus status = history.statusOf(queried.base, queried.digest());
        counts.merge(status, 1, Integer::sum);
        assertThat(
            "seed " + seed + " change " + i + " queried " + queried,
            status,
            is(expectedStatus(queried, history.version(), committed, versions)));
      }
      Change next = new Change(history.version(), "body " + i);
      committed.put(next.base, next);
      history = appendAndDecode(history, history.version() + randomVersionStep(random), next);
      versions.add(history.version());
      assertThat(history.changeCount(), is(Math.min(i + 1, ConfigHistory.MAX_CHANGES)));
    }
  }

  /** Mostly steps that encode to one byte, sometimes steps of up to 50 bits. */
  private static long randomVersionStep(Random random) {
    return random.nextInt(50) == 0 ? 1 + random.nextLong(1L << 50) : 1 + random.nextInt(9);
  }

  private static Change randomChange(
      Random random, List<Long> versions, TreeMap<Long, Change> committed) {
    long base = versions.get(random.nextInt(versions.size()));
    int kind = random.nextInt(10);
    if (kind == 0) {
      base = versions.get(versions.size() - 1) + 1 + random.nextInt(9);
    } else if (kind == 1) {
      base++;
    } else if (kind == 2) {
      base = versions.get(versions.size() - 1);
    }
    Change committedOnBase = committed.get(base);
    return committedOnBase != null && random.nextBoolean()
        ? committedOnBase
        : new Change(base, "lost " + base);
  }

  private static ConfigChangeStatus expectedStatus(
      Change queried, long currentVersion, TreeMap<Long, Change> committed, List<Long> versions) {
    int oldest = Math.max(0, committed.size() - ConfigHistory.MAX_CHANGES);
    if (queried.base == currentVersion) {
      return ConfigChangeStatus.APPLICABLE;
    }
    if (queried.base > currentVersion) {
      return ConfigChangeStatus.BASE_NOT_COMMITTED;
    }
    if (queried.base < versions.get(oldest)) {
      return ConfigChangeStatus.BASE_DROPPED_FROM_HISTORY;
    }
    return queried.equals(committed.get(queried.base))
        ? ConfigChangeStatus.COMMITTED
        : ConfigChangeStatus.SUPERSEDED;
  }

  @Test
  void encodedHistoryStaysSmall() {
    ConfigHistory history = ConfigHistory.EMPTY;
    int[] sizes = new int[ConfigHistory.MAX_CHANGES * 2 + 1];
    for (int i = 1; i < sizes.length; i++) {
      history = appendAndDecode(history, history.version() + 2, new Change(history.version(), "b"));
      sizes[i] = history.encode().length - history.configBytes().length;
    }
    System.out.printf(
        "history bytes after 1, 64, 300, 1,024 and 2,048 changes: %d, %d, %d, %d, %d%n",
        sizes[1], sizes[64], sizes[300], sizes[1_024], sizes[2_048]);
    assertThat(sizes[300], lessThanOrEqualTo(3_000));
    assertThat("no growth after the limit", sizes[2_048], is(sizes[1_024]));
  }

  @Test
  void legacyFormatIsDecodedWithAllChangesForgotten() {
    byte[] body = "{}".getBytes(StandardCharsets.UTF_8);
    ByteBuffer old = ByteBuffer.allocate(8 + 4 + 2 * 24 + body.length);
    old.putLong(7).putInt(2).putLong(5).put(new byte[16]).putLong(7).put(new byte[16]).put(body);
    ConfigHistory read = ConfigHistory.decode(old.array());
    assertThat(read.version(), is(7L));
    assertThat(read.configBytes(), equalTo(body));
    assertThat(read.statusOf(5, new byte[8]), is(ConfigChangeStatus.BASE_DROPPED_FROM_HISTORY));
    assertThat(read.statusOf(7, new byte[8]), is(ConfigChangeStatus.APPLICABLE));
    Change next = new Change(7, "next");
    ConfigHistory after = appendAndDecode(read, 9, next);
    assertThat(after.statusOf(7, next.digest()), is(ConfigChangeStatus.COMMITTED));
    assertThat(after.statusOf(5, next.digest()), is(ConfigChangeStatus.BASE_DROPPED_FROM_HISTORY));
  }

  @Test
  void corruptValueIsRejectedAsMalformed() {
    Change first = new Change(0, "a");
    byte[] good = appendAndDecode(ConfigHistory.EMPTY, 300, first).encode();
    int history = good.length - first.bytes().length;
    List<byte[]> corrupted = new ArrayList<>();
    for (int length = 0; length < history; length++) {
      corrupted.add(Arrays.copyOf(good, length));
    }
    byte[] unknownFormat = good.clone();
    unknownFormat[0] = 3;
    corrupted.add(unknownFormat);
    byte[] tooMany = good.clone();
    ByteBuffer.wrap(tooMany).putInt(9, ConfigHistory.MAX_CHANGES + 1);
    corrupted.add(tooMany);
    byte[] wrongCurrentVersion = good.clone();
    ByteBuffer.wrap(wrongCurrentVersion).putLong(1, 301);
    corrupted.add(wrongCurrentVersion);
    for (byte[] each : corrupted) {
      ElmsailException thrown =
          assertThrows(
              ElmsailException.class, () -> ConfigHistory.decode(each), Arrays.toString(each));
      assertThat(thrown.code(), is(ErrorCode.MALFORMED));
    }
  }
}
