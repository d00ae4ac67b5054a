package elmsail.timetable.pull;

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
import java.util.function.Supplier;
import org.junit.jupiter.api.BeforeEach;

/** A puller, three notaries and links that tests cut; the clock is moved by hand. */
abstract class PullerRig {
  static final String A = "10.1.0.13:7721";
  static final String B = "10.2.0.30:7721";
  static final String C = "10.3.0.36:7721";

  final HandTimers timers = new HandTimers();
  final Links links = new Links(timers);
  final Sources a = links.notary(A);
  final Sources b = links.notary(B);
  final Sources c = links.notary(C);
  final Puller puller = puller("clerk", Set.of("counter"), () -> VaultPart.NONE);
  int changes;

  static Settings settings(Set<String> serves) {
    return new Settings("counter-x-1", "r", "counter", serves, "10.1.0.13", "x", "u", Map.of(), Map.of(),
        7720, 7735, List.of("10.1.0.13:8166", "10.2.0.30:8166", "10.3.0.36:8166"), true, true, null, null,
        Set.of(), 1, null, new Settings.Carrier("10.200.0.79:8169", 40, 800));
  }

  Puller puller(String role, Set<String> serves, Supplier<VaultPart> vault) {
    return new Puller(links, timers, settings(serves), role, 77, vault, null);
  }

  @BeforeEach
  void count() {
    puller.whenChanged(() -> changes++);
  }

  static byte[] timetable(long edition) {
    return Examples.bytes(Examples.timetable(edition));
  }

  static byte[] list(String... ids) {
    List<ServerEntry> servers = new ArrayList<>();
    for (String id : ids) {
      servers.add(Examples.server(id));
    }
    return ServerList.encode(servers);
  }

  static Seating seating(Object... addressesAndIncarnations) {
    Seating seating = new Seating();
    for (int i = 0; i < addressesAndIncarnations.length; i += 2) {
      Seat seat = new Seat();
      seat.address = (String) addressesAndIncarnations[i];
      seat.incarnation = (Integer) addressesAndIncarnations[i + 1];
      seating.seats.add(seat);
    }
    return seating;
  }

  static Roster roster(Seating head, Seating shelf, String... clerks) {
    Roster roster = new Roster();
    roster.head = head;
    roster.shelf = shelf;
    roster.clerks.addAll(List.of(clerks));
    return roster;
  }

  static List<String> addresses(Seating seating) {
    List<String> all = new ArrayList<>();
    for (Seat seat : seating.seats) {
      all.add(seat.address + "#" + seat.incarnation);
    }
    return all;
  }
}
