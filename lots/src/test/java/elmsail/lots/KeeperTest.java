package elmsail.lots;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import elmsail.inner.words.Note;
import elmsail.lots.keep.LotsKeeper;
import elmsail.lots.words.Beat;
import elmsail.lots.words.Count;
import elmsail.lots.words.Kinds;
import elmsail.lots.words.LotRecord;
import elmsail.lots.words.Orphan;
import elmsail.lots.words.Packer;
import elmsail.lots.words.Unpacker;
import elmsail.rehearsal.HandTimers;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class KeeperTest {
  private final HandTimers timers = new HandTimers();
  private final List<String> dropped = new ArrayList<>();
  private boolean seated = true;
  private final LotsKeeper keeper = new LotsKeeper(timers, () -> seated, dropped::add, 120_000);

  private static LotRecord record(long tokens) {
    return new LotRecord(1, "r", "h", 1, 10_000, 60_000, "body-1",
        List.of(new LotRecord.Item("i0", tokens), new LotRecord.Item("i1", tokens)), List.of(), false,
            "door", 1, 0);
  }

  private long others(String route) {
    Count count = new Count();
    count.putAll(List.of(keeper.noted("lot/probe", new Count.Add(route, "probe", 0, 1).packed())));
    return count.without("probe");
  }

  private Note ask(String kind, byte[] bytes) {
    return keeper.answer(Kinds.note(kind, bytes)).toCompletableFuture().join();
  }

  private List<Orphan> orphans() {
    return Orphan.unpacked(ask(Kinds.ORPHANS, new Packer().number(2_000).packed()).bytes);
  }

  @Test
  void addsCountUntilTheyRunOutOrAreWithdrawn() {
    Count.Add add = new Count.Add("r", "a", 30, 7);
    keeper.noted("lot/a", add.packed());
    keeper.noted("lot/a", add.packed());
    assertThat(others("r"), is(30L));
    assertThat(others("else"), is(0L));
    ask(Kinds.WITHDRAW, new Count.Add("r", "a", 30, 8).packed());
    assertThat("another try's add", others("r"), is(30L));
    ask(Kinds.WITHDRAW, add.packed());
    assertThat(others("r"), is(0L));
    keeper.noted("lot/a", add.packed());
    timers.pass(5_001);
    assertThat(others("r"), is(0L));
  }

  @Test
  void aFirstRecordIsTakenOnlyWithItsAdd() {
    byte[] value = record(10).packed();
    assertThat(keeper.admits("lot/a", value), is(false));
    keeper.noted("lot/a", new Count.Add("r", "a", 20, 7).packed());
    keeper.noted("lot/b", new Count.Add("r", "b", 20, 7).packed());
    keeper.noted("lot/c", new Count.Add("r", "c", 19, 7).packed());
    keeper.noted("lot/d", new Count.Add("else", "d", 20, 7).packed());
    assertThat(keeper.admits("lot/a", value), is(true));
    assertThat("fewer tokens were added", keeper.admits("lot/c", value), is(false));
    assertThat("added on another route", keeper.admits("lot/d", value), is(false));
    timers.pass(5_001);
    assertThat("admitted before", keeper.admits("lot/a", value), is(true));
    assertThat("run out unused", keeper.admits("lot/b", value), is(false));
    timers.pass(30_001);
    assertThat("never written", keeper.admits("lot/a", value), is(false));
    assertThat(keeper.admits("lot/a", record(10).again().packed()), is(true));
  }

  @Test
  void aLotThatIsBeingWrittenIsCountedHoweverLongTheDiskTakes() {
    Count.Add add = new Count.Add("r", "a", 20, 7);
    keeper.noted("lot/a", add.packed());
    timers.pass(4_900);
    assertThat(keeper.admits("lot/a", record(10).packed()), is(true));
    ask(Kinds.WITHDRAW, add.packed());
    timers.pass(10_000);
    assertThat(others("r"), is(20L));
    keeper.taken("lot/a", record(10).packed());
    assertThat(others("r"), is(20L));
  }

  @Test
  void theCountFollowsTheNewestRecord() {
    LotRecord first = record(10);
    LotRecord listed = first.listing(List.of(new LotRecord.Result(1, true, 1, 5)), 0);
    keeper.taken("lot/a", first.packed());
    assertThat(others("r"), is(20L));
    keeper.taken("lot/a", listed.packed());
    keeper.taken("lot/a", first.packed());
    assertThat(others("r"), is(10L));
    keeper.taken("lot/a", listed.endedNow().packed());
    assertThat(others("r"), is(0L));
    assertThat(orphans(), hasSize(0));
  }

  @Test
  void theUnionTakesTheNewestOfEachLot() {
    Count count = new Count();
    Count one = new Count();
    one.put(1, 2, 10);
    one.put(2, 0, 7);
    Count other = new Count();
    other.put(1, 3, 0);
    count.putAll(List.of(one.packed(), other.packed()));
    assertThat(count.without("x"), is(7L));
  }

  @Test
  void aRunnerThatIsHeardKeepsItsLots() {
    keeper.taken("lot/a", record(10).packed());
    byte[] beat = new Beat("door", List.of(new Beat.Run("a", 1), new Beat.Run("b", 1))).packed();
    for (int i = 0; i < 10; i++) {
      timers.pass(1_000);
      Unpacker told = new Unpacker(ask(Kinds.BEAT, beat).bytes);
      assertThat(List.of(told.number(), told.number()), contains((long) Beat.YOURS, (long) Beat.UNKNOWN));
    }
    timers.pass(1_999);
    assertThat(orphans(), hasSize(0));
    timers.pass(1);
    assertThat(orphans(), contains(new Orphan("a", 1, 2_000)));
    keeper.taken("lot/a", record(10).runBy("other", 0).packed());
    assertThat(new Unpacker(ask(Kinds.BEAT, beat).bytes).number(), is((long) Beat.GONE));
  }

  @Test
  void withoutASeatItSaysNothing() {
    keeper.taken("lot/a", record(10).packed());
    seated = false;
    assertThat(ask(Kinds.ORPHANS, new Packer().number(0).packed()).kind, is(Kinds.NOT_SEATED));
  }

  @Test
  void whatCameWithALotThatWasRefusedIsDropped() {
    keeper.start();
    keeper.noted("lot/a", new Count.Add("r", "a", 30, 7).packed());
    keeper.noted("lot/b", new Count.Add("r", "b", 20, 7).packed());
    keeper.taken("lot/b", record(10).packed());
    timers.pass(59_000);
    assertThat(dropped, hasSize(0));
    timers.pass(10_000);
    assertThat(dropped, contains("lot/a"));
  }

  @Test
  void lotsAreDroppedOnceNobodyMayAskForThem() {
    keeper.start();
    LotRecord whole = record(10).listing(
        List.of(new LotRecord.Result(0, false, 1, 0), new LotRecord.Result(1, false, 1, 0)), 0);
    keeper.taken("lot/a", whole.packed());
    keeper.taken("lot/b", record(10).packed());
    timers.pass(150_000);
    assertThat(dropped, hasSize(0));
    timers.pass(5_000);
    assertThat(dropped, contains("lot/a"));
    timers.pass(60_000);
    assertThat(dropped, contains("lot/a", "lot/b"));
    assertThat(keeper.size(), is(0));
  }
}
