package elmsail.timetable.pull;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.nullValue;

import elmsail.inner.words.PullAsk;
import elmsail.inner.words.PullTold;
import elmsail.inner.words.Roster;
import elmsail.inner.words.Seat;
import elmsail.inner.words.Seating;
import elmsail.rehearsal.HandTimers;
import elmsail.station.Settings;
import elmsail.timetable.Examples;
import elmsail.timetable.ServerEntry;
import elmsail.timetable.ServerList;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class PullerTest {
  private static final String A = "10.1.0.13:7721";
  private static final String B = "10.2.0.30:7721";
  private static final String C = "10.3.0.36:7721";

  private final HandTimers timers = new HandTimers();
  private final Links links = new Links(timers);
  private final Sources a = links.notary(A);
  private final Sources b = links.notary(B);
  private final Sources c = links.notary(C);
  private final Puller puller = puller("clerk", Set.of("counter"), () -> VaultPart.NONE);
  private int changes;

  static Settings settings(Set<String> serves) {
    return new Settings("counter-x-1", "r", "counter", serves, "10.1.0.13", "x", "u", Map.of(), Map.of(),
        7720, 7735, List.of("10.1.0.13:8166", "10.2.0.30:8166", "10.3.0.36:8166"), true, true, null, null,
        Set.of(), 1, null, new Settings.Carrier("10.200.0.79:8169", 40, 800));
  }

  private Puller puller(String role, Set<String> serves, java.util.function.Supplier<VaultPart> vault) {
    return new Puller(links, timers, settings(serves), role, 77, vault, null);
  }

  @BeforeEach
  void count() {
    puller.whenChanged(() -> changes++);
  }

  private static byte[] timetable(long edition) {
    return Examples.bytes(Examples.timetable(edition));
  }

  private static byte[] list(String... ids) {
    List<ServerEntry> servers = new ArrayList<>();
    for (String id : ids) {
      servers.add(Examples.server(id));
    }
    return ServerList.encode(servers);
  }

  private static Seating seating(Object... addressesAndIncarnations) {
    Seating seating = new Seating();
    for (int i = 0; i < addressesAndIncarnations.length; i += 2) {
      Seat seat = new Seat();
      seat.address = (String) addressesAndIncarnations[i];
      seat.incarnation = (Integer) addressesAndIncarnations[i + 1];
      seating.seats.add(seat);
    }
    return seating;
  }

  private static Roster roster(Seating head, Seating shelf, String... clerks) {
    Roster roster = new Roster();
    roster.head = head;
    roster.shelf = shelf;
    roster.clerks.addAll(List.of(clerks));
    return roster;
  }

  private static List<String> addresses(Seating seating) {
    List<String> all = new ArrayList<>();
    for (Seat seat : seating.seats) {
      all.add(seat.address + "#" + seat.incarnation);
    }
    return all;
  }

  @Test
  void asksEachSeedAndSaysWhoItIs() {
    puller.start();
    assertThat(puller.asked(), containsInAnyOrder(A, B, C));
    PullAsk ask = links.last(A);
    assertThat(ask.station, equalTo("counter-x-1"));
    assertThat(ask.address, equalTo("10.1.0.13:7720"));
    assertThat(ask.role, equalTo("clerk"));
    assertThat(ask.life, equalTo(77L));
    assertThat(ask.waitMs, equalTo(1_000L));
    assertThat(puller.timetable(), nullValue());
    assertThat(puller.servers(), empty());
    assertThat(puller.listAgeMs(), equalTo(Long.MAX_VALUE));
  }

  @Test
  void aNotaryDoesNotAskItself() {
    Puller notary = puller("notary", Set.of("head_office"), () -> VaultPart.NONE);
    notary.start();
    assertThat(notary.asked(), containsInAnyOrder(B, C));
  }

  @Test
  void aVaultTellsItsPartAsItIsAtEachAsk() {
    List<VaultPart> part = new ArrayList<>(List.of(VaultPart.NONE));
    Puller vault = puller("vault", Set.of("vault"), () -> part.get(0));
    vault.start();
    assertThat(links.last(A).seated, equalTo(false));
    Seating shelf = seating("v:1", 4);
    part.set(0, new VaultPart(true, true, shelf));
    timers.pass(1_100);
    assertThat(links.last(A).seated, equalTo(true));
    assertThat(links.last(A).emptied, equalTo(true));
    assertThat(links.last(A).shelf, equalTo(shelf));
  }

  @Test
  void aChangeIsThereAtOnceAndToldOnce() {
    puller.start();
    timers.pass(300);
    int before = changes;
    for (Sources notary : List.of(a, b, c)) {
      notary.setTimetable(7, timetable(7));
    }
    timers.pass(5);
    assertThat(puller.timetable().edition(), equalTo(7L));
    assertThat(puller.timetableBytes(), equalTo(timetable(7)));
    timers.pass(2_000);
    assertThat(changes, equalTo(before + 1));
  }

  @Test
  void anOlderEditionNeverWins() {
    a.setTimetable(9, timetable(9));
    b.setTimetable(7, timetable(7));
    puller.start();
    timers.pass(100);
    assertThat(puller.timetable().edition(), equalTo(9L));
    c.setTimetable(8, timetable(8));
    links.notary(A).setTimetable(5, timetable(5));
    timers.pass(5_000);
    assertThat(puller.timetable().edition(), equalTo(9L));
    puller.offerTimetable(timetable(8));
    assertThat(puller.timetable().edition(), equalTo(9L));
    puller.offerTimetable(timetable(10));
    assertThat(puller.timetable().edition(), equalTo(10L));
  }

  @Test
  void anOlderEditionThatComesLateIsPassedOver() {
    CompletableFuture<PullTold> late = new CompletableFuture<>();
    links.notaries.put(A, ask -> late);
    b.setTimetable(9, timetable(9));
    puller.start();
    timers.pass(100);
    PullTold told = new PullTold();
    told.edition = 8;
    told.timetable = timetable(8);
    late.complete(told);
    timers.pass(100);
    assertThat(puller.timetable().edition(), equalTo(9L));
  }

  @Test
  void asksFollowAtOnceButTwentyMsApart() {
    puller.start();
    timers.pass(300);
    List<Long> times = links.times(A);
    assertThat(times.subList(0, 2), contains(1_000L, 1_020L));
    assertThat(times, hasSize(2));
    a.setTimetable(7, timetable(7));
    timers.pass(5);
    assertThat(links.times(A), hasSize(3));
    assertThat(links.times(A).get(2), equalTo(1_305L));
  }

  @Test
  void failuresSpreadOut() {
    links.notaries.remove(A);
    puller.start();
    timers.pass(2_000);
    assertThat(links.times(A), contains(1_000L, 1_105L, 1_310L, 1_715L, 2_220L, 2_725L));
    assertThat(puller.failures(), greaterThan(4L));
    assertThat(puller.heardAgoMs(A), equalTo(Long.MAX_VALUE));
    assertThat(puller.heardAgoMs(B), lessThan(1_100L));
  }

  @Test
  void aCutOneWayToOneNotaryLeavesTheOthersWord() {
    puller.start();
    timers.pass(100);
    links.cutBack.add(A);
    a.setServers(1, 1, list("i-1"), timers.now());
    a.setTimetable(7, timetable(7));
    timers.pass(2_500);
    assertThat(puller.timetable(), nullValue());
    assertThat(puller.heardAgoMs(A), greaterThan(2_400L));
    b.setTimetable(7, timetable(7));
    timers.pass(10);
    assertThat(puller.timetable().edition(), equalTo(7L));
    assertThat(a.heardWithin(2_000), hasSize(1));
    links.cutBack.clear();
    timers.pass(4_000);
    assertThat(puller.servers(), hasSize(1));
    links.cutThere.add(A);
    timers.pass(4_000);
    assertThat(a.heardWithin(1_500), empty());
    assertThat(b.heardWithin(1_500), hasSize(1));
  }

  @Test
  void theListsAgeIsKeptFromWhatIsTold() {
    a.setServers(1, 1, list("i-1"), timers.now() - 400);
    puller.start();
    timers.pass(10);
    assertThat(puller.listAgeMs(), equalTo(405L));
    assertThat(puller.listTakenAt(), equalTo(605L));
    timers.pass(600);
    assertThat(puller.listAgeMs(), equalTo(1_005L));
    int before = changes;
    a.setServers(1, 1, list("i-1"), timers.now());
    timers.pass(900);
    assertThat(puller.listAgeMs(), lessThanOrEqualTo(1_000L));
    assertThat(changes, equalTo(before));
  }

  @Test
  void aListOfALowerEpochIsIgnored() {
    a.setServers(2, 1, list("i-2"), timers.now());
    b.setServers(1, 50, list("i-1"), timers.now());
    puller.start();
    timers.pass(2_000);
    assertThat(puller.servers(), equalTo(ServerList.decode(list("i-2"))));
    assertThat(puller.listEpoch(), equalTo(2L));
    assertThat(puller.listVersion(), equalTo(1L));
    puller.offerServers(2, 2, list("i-3"), timers.now());
    assertThat(puller.servers(), equalTo(ServerList.decode(list("i-3"))));
    assertThat(puller.listBytes(), equalTo(list("i-3")));
  }

  @Test
  void seatsAreMergedByIncarnationAndClerksJoined() {
    Seating head = seating(A, 1, B, 1, C, 1);
    a.setRoster(ask -> roster(head, seating("v1:1", 1, "v2:1", 3, "v3:1", 1), "c1:1", "c2:1"));
    b.setRoster(ask -> roster(head, seating("v4:1", 2, "v2:1", 1, "v3:1", 1), "c2:1", "c3:1"));
    c.setRoster(ask -> roster(head, new Seating(), "c4:1"));
    puller.start();
    timers.pass(100);
    assertThat(addresses(puller.roster().shelf), contains("v4:1#2", "v2:1#3", "v3:1#1"));
    assertThat(addresses(puller.roster().head), contains(A + "#1", B + "#1", C + "#1"));
    assertThat(puller.roster().clerks, contains("c1:1", "c2:1", "c3:1", "c4:1"));
    a.setRoster(ask -> roster(head, seating("v1:1", 1, "v2:1", 1, "v3:1", 1), "c1:1"));
    b.setRoster(ask -> roster(head, new Seating()));
    timers.pass(100);
    assertThat(addresses(puller.roster().shelf), contains("v4:1#2", "v2:1#3", "v3:1#1"));
    assertThat(puller.roster().clerks, contains("c1:1", "c4:1"));
  }

  @Test
  void aNotaryGoneSilentIsNotHeardOnTheClerks() {
    a.setRoster(ask -> roster(new Seating(), new Seating(), "c1:1"));
    b.setRoster(ask -> roster(new Seating(), new Seating(), "c2:1"));
    puller.start();
    timers.pass(100);
    assertThat(puller.roster().clerks, contains("c1:1", "c2:1"));
    links.notaries.remove(A);
    timers.pass(8_000);
    assertThat(puller.roster().clerks, contains("c2:1"));
    links.notaries.clear();
    timers.pass(10_000);
    assertThat(puller.roster().clerks, contains("c2:1"));
  }

  @Test
  void aNotaryStartedAnewIsBelievedThoughItsVersionsAreLower() {
    long[] version = {500};
    String[] clerk = {"c1:1"};
    links.notaries.put(A, ask -> {
      PullTold told = new PullTold();
      told.rosterVersion = version[0];
      told.roster = ask.rosterVersion == version[0] ? null : roster(new Seating(), new Seating(), clerk);
      CompletableFuture<PullTold> answer = new CompletableFuture<>();
      timers.after(told.roster == null ? ask.waitMs : 0, () -> answer.complete(told));
      return answer;
    });
    puller.start();
    timers.pass(100);
    assertThat(links.last(A).rosterVersion, equalTo(500L));
    version[0] = 1;
    clerk[0] = "c9:1";
    timers.pass(2_200);
    assertThat(puller.roster().clerks, contains("c9:1"));
    assertThat(links.last(A).rosterVersion, equalTo(1L));
  }

  @Test
  void aLowerVersionWithoutARosterIsAskedAgain() {
    long[] version = {500};
    links.notaries.put(A, ask -> {
      PullTold told = new PullTold();
      told.rosterVersion = version[0];
      told.roster = ask.rosterVersion >= version[0] ? null
          : roster(new Seating(), new Seating(), "v" + version[0]);
      CompletableFuture<PullTold> answer = new CompletableFuture<>();
      timers.after(told.roster == null ? ask.waitMs : 0, () -> answer.complete(told));
      return answer;
    });
    puller.start();
    timers.pass(100);
    version[0] = 1;
    timers.pass(2_500);
    assertThat(puller.roster().clerks, contains("v1"));
  }

  @Test
  void aClaimIsPassedOnFromWhoeverSaysSo() {
    List<String> claims = new ArrayList<>();
    puller.whenClaim((seat, incarnation) -> claims.add(seat + "#" + incarnation));
    puller.start();
    timers.pass(100);
    assertThat(claims, empty());
    b.setRoster(ask -> {
      Roster roster = new Roster();
      roster.claimSeat = 0;
      roster.claimIncarnation = 3;
      return roster;
    });
    timers.pass(10);
    assertThat(claims, contains("0#3"));
  }

  @Test
  void theHeadsSeatsTakeTheSeedsPlace() {
    String moved = "10.9.0.1:7721";
    Sources other = links.notary(moved);
    a.setRoster(ask -> roster(seating(A, 1, B, 1, moved, 2), new Seating()));
    puller.start();
    timers.pass(50);
    assertThat(puller.asked(), containsInAnyOrder(A, B, moved));
    other.setTimetable(7, timetable(7));
    timers.pass(50);
    assertThat(puller.timetable().edition(), equalTo(7L));
    int asksOfC = links.times(C).size();
    timers.pass(3_000);
    assertThat(links.times(C), hasSize(asksOfC));
  }

  @Test
  void theSeedsAreTriedAgainWhileNobodyAnswers() {
    a.setRoster(ask -> roster(seating("10.9.0.1:1", 1, "10.9.0.2:1", 1, "10.9.0.3:1", 1), new Seating()));
    puller.start();
    timers.pass(50);
    assertThat(puller.asked(), not(hasItem(A)));
    a.setRoster(ask -> roster(seating(A, 2, B, 2, C, 2), new Seating()));
    timers.pass(40_000);
    assertThat(puller.asked(), containsInAnyOrder(A, B, C));
  }

  @Test
  void ofFiveThreeAreAskedAndASilentOneIsReplaced() {
    String d = "10.4.0.1:7721";
    String e = "10.5.0.1:7721";
    links.notary(d);
    links.notary(e);
    a.setRoster(ask -> roster(seating(A, 1, B, 1, C, 1, d, 1, e, 1), new Seating()));
    puller.start();
    timers.pass(2_000);
    List<String> first = puller.asked();
    assertThat(first, hasSize(3));
    String gone = first.get(0);
    links.cutThere.add(gone);
    timers.pass(9_000);
    assertThat(puller.asked(), hasSize(3));
    assertThat(puller.asked(), not(hasItem(gone)));
    for (String stays : first.subList(1, 3)) {
      assertThat(puller.asked(), hasItem(stays));
    }
    links.cutThere.clear();
    timers.pass(32_000);
    assertThat(puller.asked(), containsInAnyOrder(first.toArray()));
  }

  @Test
  void whatCannotBeReadIsNotTakenAndNotAskedForInHaste() {
    a.setTimetable(7, new byte[] {'{'});
    a.setServers(1, 1, list("i-1"), timers.now());
    b.setTimetable(6, timetable(6));
    links.notaries.remove(C);
    puller.start();
    timers.pass(3_000);
    assertThat(puller.timetable().edition(), equalTo(6L));
    assertThat(puller.servers(), hasSize(1));
    assertThat(puller.unreadable(), greaterThan(3L));
    assertThat(links.times(A).size(), lessThan(12));
  }

  @Test
  void anotherEditionThanToldIsNotTaken() {
    a.setTimetable(9, timetable(7));
    puller.start();
    timers.pass(500);
    assertThat(puller.timetable(), nullValue());
    assertThat(puller.unreadable(), greaterThan(0L));
  }

  @Test
  void aListenersFaultDoesNotEndTheAsking() {
    puller.whenChanged(() -> {
      throw new IllegalStateException("a listener's fault");
    });
    a.setTimetable(7, timetable(7));
    puller.start();
    timers.pass(500);
    a.setTimetable(8, timetable(8));
    timers.pass(500);
    assertThat(puller.timetable().edition(), equalTo(8L));
  }

  @Test
  void afterTheCloseNothingIsAsked() {
    puller.start();
    timers.pass(500);
    puller.close();
    int asks = links.sent.size();
    a.setTimetable(7, timetable(7));
    timers.pass(10_000);
    assertThat(links.sent, hasSize(asks));
    assertThat(puller.timetable(), nullValue());
    assertThat(timers.step(), equalTo(false));
  }
}
