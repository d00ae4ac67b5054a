package elmsail.notary;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import elmsail.inner.words.PullAsk;
import elmsail.inner.words.Seat;
import elmsail.inner.words.Seating;
import java.util.HashSet;
import java.util.Set;
import java.util.StringJoiner;
import org.junit.jupiter.api.Test;

class RegistrarTest {
  private final Heard heard = new Heard();
  private final Registrar registrar = new Registrar(3, 0);
  private final Set<String> retiring = new HashSet<>();
  private Seating shelf = new Seating();
  private long now;

  private void hear(String name, String zone, boolean seated) {
    heard.note(ask(name, zone, seated, shelf), now);
  }

  static PullAsk ask(String name, String zone, boolean seated, Seating shelf) {
    PullAsk ask = new PullAsk();
    ask.role = "vault";
    ask.station = name;
    ask.address = name + ":1";
    ask.zone = zone;
    ask.life = name.hashCode();
    ask.seated = seated;
    ask.shelf = shelf;
    return ask;
  }

  private static String names(Seating seating) {
    StringJoiner names = new StringJoiner(" ");
    for (Seat seat : seating.seats) {
      names.add(seat.station + seat.incarnation);
    }
    return names.toString();
  }

  private void founded(String... names) {
    shelf = new Seating();
    for (String name : names) {
      shelf.seats.add(SeatingValues.seat(name + ":1", name, name.hashCode(), 1));
    }
  }

  /** Time passes in steps, as those named are heard, seated where they hold a seat. */
  private Registrar.Order pass(long ms, String... names) {
    Registrar.Order order = null;
    long end = now + ms;
    while (now < end) {
      now += 100;
      for (String name : names) {
        hear(name, "z" + name, SeatingValues.seatOf(shelf, name + ":1") >= 0);
      }
      order = registrar.order(heard, shelf, retiring, true, now);
    }
    return order;
  }

  @Test
  void foundsAsSoonAsEnoughAreThereInAnyOrder() {
    hear("c", "z1", false);
    hear("a", "z2", false);
    assertThat(registrar.founding(heard, now), is(nullValue()));
    hear("b", "z3", false);
    assertThat(names(registrar.founding(heard, now)), equalTo("a1 b1 c1"));
  }

  @Test
  void prefersDistinctZonesAndWaitsForThemALittle() {
    hear("a", "z1", false);
    hear("b", "z1", false);
    hear("c", "z2", false);
    assertThat(registrar.founding(heard, now), is(nullValue()));
    hear("d", "z3", false);
    assertThat(names(registrar.founding(heard, now)), equalTo("a1 c1 d1"));
  }

  @Test
  void foundsInFewerZonesAfterASecond() {
    hear("a", "z1", false);
    hear("b", "z1", false);
    hear("c", "z1", false);
    now = 1_000;
    assertThat(names(registrar.founding(heard, now)), equalTo("a1 b1 c1"));
  }

  @Test
  void foundsWithFewerAfterSixSeconds() {
    assertThat(registrar.founding(heard, now), is(nullValue()));
    for (now = 0; now < 6_000; now += 500) {
      hear("a", "z1", false);
      assertThat(registrar.founding(heard, now), is(nullValue()));
    }
    hear("a", "z1", false);
    assertThat(names(registrar.founding(heard, now)), equalTo("a1"));
  }

  @Test
  void leavesOutVaultsThatAreSeatedOrGoneAgain() {
    hear("a", "z1", true);
    hear("b", "z2", false);
    hear("c", "z3", false);
    hear("d", "z4", false);
    now = 3_000;
    hear("b", "z2", false);
    hear("c", "z3", false);
    assertThat(registrar.founding(heard, now), is(nullValue()));
  }

  @Test
  void aSpareTakesTheSeatOfOneUnheardForSoLong() {
    founded("a", "b", "c");
    assertThat(pass(5_000, "a", "b", "c", "d"), is(nullValue()));
    assertThat(pass(2_500, "a", "b", "d"), is(nullValue()));
    Registrar.Order order = pass(100, "a", "b", "d");
    assertThat(order, equalTo(new Registrar.Order(2, "d:1", 2)));
    assertThat("the same spare until it is done", pass(1_000, "a", "b", "d", "e"), equalTo(order));
  }

  @Test
  void noSpareNoOrder() {
    founded("a", "b", "c");
    pass(1_000, "a", "b", "c");
    assertThat(pass(5_000, "a", "b"), is(nullValue()));
    assertThat("a retiring one is no spare", retiring.add("d"), is(true));
    assertThat(pass(1_000, "a", "b", "d"), is(nullValue()));
  }

  @Test
  void onewhoComesBackKeepsItsSeat() {
    founded("a", "b", "c");
    assertThat(pass(3_000, "a", "b", "d"), equalTo(new Registrar.Order(2, "d:1", 2)));
    assertThat(pass(200, "a", "b", "c", "d"), is(nullValue()));
  }

  @Test
  void aSecondSpareClaimsAboveTheFirst() {
    founded("a", "b", "c");
    assertThat(pass(3_000, "a", "b", "d"), equalTo(new Registrar.Order(2, "d:1", 2)));
    assertThat(pass(3_000, "a", "b", "e"), equalTo(new Registrar.Order(2, "e:1", 3)));
  }

  @Test
  void theRetiredGiveTheirSeatsWhileAllOthersAreSeated() {
    founded("a", "b", "c");
    retiring.add("b");
    assertThat(pass(500, "a", "b", "c"), is(nullValue()));
    assertThat(pass(500, "a", "b", "c", "d"), equalTo(new Registrar.Order(1, "d:1", 2)));
  }

  @Test
  void noSecondSeatWhileOneIsBeingCopied() {
    founded("a", "b", "c");
    retiring.add("a");
    pass(500, "a", "b", "c", "d");
    shelf.seats.set(0, SeatingValues.seat("d:1", "d", "d".hashCode(), 2));
    retiring.add("b");
    for (int i = 0; i < 10; i++) {
      now += 100;
      hear("a", "za", false);
      hear("b", "zb", true);
      hear("c", "zc", true);
      hear("d", "zd", false);
      hear("e", "ze", false);
      assertThat(registrar.order(heard, shelf, retiring, true, now), is(nullValue()));
    }
    assertThat(pass(300, "a", "b", "c", "d", "e"), equalTo(new Registrar.Order(1, "e:1", 2)));
  }

  @Test
  void twoGoneOfThreeMoveNobody() {
    founded("a", "b", "c");
    pass(1_000, "a", "b", "c", "d");
    assertThat(pass(6_000, "a", "d"), is(nullValue()));
  }

  @Test
  void twoGoneOfFiveAreReplacedOneByOne() {
    founded("a", "b", "c", "d", "e");
    pass(1_000, "a", "b", "c", "d", "e", "f");
    assertThat(pass(3_000, "a", "b", "c", "f"), equalTo(new Registrar.Order(3, "f:1", 2)));
    shelf.seats.set(3, SeatingValues.seat("f:1", "f", "f".hashCode(), 2));
    assertThat(pass(300, "a", "b", "c", "f", "g"), equalTo(new Registrar.Order(4, "g:1", 2)));
  }

  @Test
  void aWipedHolderThatIsHeardIsNotReplaced() {
    founded("a", "b", "c");
    pass(1_000, "a", "b", "c", "d");
    for (int i = 0; i < 50; i++) {
      now += 100;
      hear("a", "za", true);
      hear("b", "zb", true);
      hear("c", "zc", false);
      hear("d", "zd", false);
      assertThat(registrar.order(heard, shelf, retiring, true, now), is(nullValue()));
    }
  }

  @Test
  void aRegistrarThatWasHeldUpListensAnew() {
    founded("a", "b", "c");
    pass(1_000, "a", "b", "c", "d");
    now += 10_000;
    hear("a", "za", true);
    hear("b", "zb", true);
    hear("d", "zd", false);
    assertThat(registrar.order(heard, shelf, retiring, true, now), is(nullValue()));
    assertThat(pass(2_400, "a", "b", "d"), is(nullValue()));
    assertThat(pass(300, "a", "b", "d"), equalTo(new Registrar.Order(2, "d:1", 2)));
  }

  @Test
  void withoutTheLeaseNothingIsDirectedAndTheTimeBeginsAnew() {
    founded("a", "b", "c");
    pass(1_000, "a", "b", "c", "d");
    for (int i = 0; i < 40; i++) {
      now += 100;
      hear("a", "za", true);
      hear("b", "zb", true);
      hear("d", "zd", false);
      assertThat(registrar.order(heard, shelf, retiring, false, now), is(nullValue()));
    }
    assertThat(pass(2_400, "a", "b", "d"), is(nullValue()));
    assertThat(pass(300, "a", "b", "d"), equalTo(new Registrar.Order(2, "d:1", 2)));
  }
}
