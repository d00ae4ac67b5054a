package elmsail.timetable.pull;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.not;

import elmsail.inner.words.PullTold;
import elmsail.inner.words.Roster;
import elmsail.inner.words.Seating;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

class PullerRosterTest extends PullerRig {
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
}
