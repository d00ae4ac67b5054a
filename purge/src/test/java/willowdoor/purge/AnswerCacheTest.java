package willowdoor.purge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import willowdoor.purge.AnswerCache.Bypass;
import willowdoor.purge.AnswerCache.Hit;
import willowdoor.purge.AnswerCache.Lookup;
import willowdoor.purge.AnswerCache.Miss;
import willowdoor.purge.AnswerCache.Queued;
import willowdoor.purge.Message.Apply;
import willowdoor.purge.Message.Grant;
import willowdoor.purge.Message.Purge;

class AnswerCacheTest {
  private final LeaseHolder holder =
      new LeaseHolder(
          new Fleet(List.of(0), List.of(0), new Timing(60_000, 50_000, 10, 100, 50, 1, 1)),
          5,
          Rules.NORMAL);
  private final AnswerCache<byte[]> cache =
      new AnswerCache<>(holder, 100_000, 10_000, answer -> answer.length);
  private final List<Lookup<byte[]>> results = new ArrayList<>();
  private long runs;

  private void lease(long now) {
    holder.renew(now);
    holder.onMessage(now, 0, new Grant(5, now == 0 ? 1 : 2, false, List.of()));
  }

  private Lookup<byte[]> find(long now, String target, long endMs) {
    return cache.find(now, "c", target, endMs, results::add);
  }

  private AnswerCache.Fill<byte[]> lead(long now, String target) {
    return ((Miss<byte[]>) find(now, target, now + 1_000)).fill();
  }

  private void purge(long now, String prefix) {
    holder
        .onMessage(now, 0, new Apply(new Purge(++runs, 0, new Scope("c", prefix))))
        .forEach(
            effect -> {
              if (effect instanceof Effect.Drop drop) {
                cache.drop(drop.scope());
              }
            });
  }

  @Test
  void servesUntilTtlEndsAndDropsByPrefix() {
    assertInstanceOf(Bypass.class, find(0, "/a/1", 9), "no lease");
    lease(0);
    for (String target : List.of("/a/1", "/a/2?q=%20", "/b/1")) {
      lead(0, target).done(5, new byte[9]);
      assertInstanceOf(Hit.class, find(6, target, 99));
    }
    for (String odd : List.of("/a/%31", "/a//1", "/a/./1", "/a/..", "/a\\1", "a")) {
      assertInstanceOf(Bypass.class, find(6, odd, 99), odd);
    }
    purge(7, "/a/");
    assertEquals(1, cache.size());
    assertInstanceOf(Miss.class, find(8, "/a/2?q=%20", 99));
    assertInstanceOf(Hit.class, find(9_999, "/b/1", 99_999));
    assertInstanceOf(
        Miss.class, find(10_000, "/b/1", 99_999), "the TTL counts from the request to the server");
  }

  @Test
  void sharesOneRequestAndBoundsEachWait() {
    lease(0);
    AnswerCache.Fill<byte[]> fill = lead(0, "/a");
    AnswerCache.Waiter<byte[]> gone = found -> results.add(null);
    assertInstanceOf(Queued.class, cache.find(1, "c", "/a", 500, gone));
    cache.removeWaiter("c", "/a", gone);
    for (long end : new long[] {50, 400, 410, 420}) {
      assertInstanceOf(Queued.class, find(1, "/a", end));
    }
    fill.failed(100);
    assertEquals(1, results.size(), "the first request that still waits is sent next");
    AnswerCache.Fill<byte[]> second = ((Miss<byte[]>) results.remove(0)).fill();
    purge(150, "/a");
    second.done(200, new byte[1]);
    assertEquals(
        1, results.size(), "an answer requested before the purge must not reach waiting requests");
    AnswerCache.Fill<byte[]> third = ((Miss<byte[]>) results.remove(0)).fill();
    assertEquals(0, cache.size());
    third.done(300, new byte[2]);
    assertInstanceOf(Hit.class, results.remove(0));
    assertTrue(results.isEmpty());
    for (int i = 0; i < 100; i++) {
      find(300, "/new", 900);
    }
    assertInstanceOf(Bypass.class, find(300, "/new", 900), "at most 64 requests wait");
    assertInstanceOf(
        Miss.class, find(900, "/new", 999), "the time of the request in flight is over");
  }

  @Test
  void boundsTheCacheSize() {
    lease(0);
    for (int i = 0; i < 2_000; i++) {
      lead(i, "/flood/" + i).done(i, new byte[1_000]);
    }
    assertTrue(cache.size() <= 100 && cache.size() >= 50, "kept " + cache.size());
    cache.dropAll();
    assertEquals(0, cache.size());
  }

  @Test
  void expiredLeaseInvalidatesAnswersAndReleasesWaiters() {
    lease(0);
    lead(0, "/a").done(1, new byte[1]);
    AnswerCache.Fill<byte[]> fill = lead(49_000, "/b");
    find(49_000, "/b", 99_000);
    assertInstanceOf(Bypass.class, find(50_000, "/a", 60_000));
    fill.done(50_000, new byte[1]);
    assertInstanceOf(Bypass.class, results.remove(0));
    lease(50_001);
    assertInstanceOf(Miss.class, find(50_002, "/a", 60_000));
  }
}
