package elmsail.lots;

import elmsail.inner.words.Roster;
import elmsail.inner.words.Seat;
import elmsail.inner.words.Seating;
import elmsail.lots.door.LotsDoor;
import elmsail.lots.keep.LotsKeeper;
import elmsail.register.RegisterClient;
import elmsail.register.Seatings;
import elmsail.register.SetKeeper;
import elmsail.rehearsal.HandTimers;
import elmsail.rehearsal.Node;
import elmsail.rehearsal.SimDisk;
import elmsail.rehearsal.SimNet;
import elmsail.timetable.Known;
import elmsail.timetable.Route;
import elmsail.timetable.ServerEntry;
import elmsail.timetable.Timetable;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/** Doors and vaults as they are, over simulated links and disks, on one clock and one seed. */
final class ShelfWorld {
  static final String SET = "shelf";

  /** A vault's machine: the disk stays. */
  final class Vault {
    final String address;
    final SimDisk disk;
    Node node;
    SetKeeper keeper;
    LotsKeeper lots;
    boolean up;

    Vault(int number) {
      address = "10.0.1." + number + ":7720";
      disk = new SimDisk(seed * 31 + number, timers);
    }

    void start() {
      up = true;
      node = net.node(address);
      lots = new LotsKeeper(node.timers(), () -> keeper != null && keeper.seated(), key -> keeper.drop(key),
          120_000);
      keeper = new SetKeeper(SET, disk.open(node.timers()), lots, node.answering(), node.caller(),
          node.timers(), address, "st-" + address);
      lots.listen(node.answering());
      lots.start();
    }

    void kill(boolean wipe) {
      up = false;
      net.kill(address);
      if (wipe) {
        disk.wipe();
      }
    }
  }

  /** A door; each start is a new life with servers of its own. */
  final class Door {
    final String address;
    Node node;
    LotsDoor calls;
    SimServers servers;
    boolean up;

    Door(int number) {
      address = "10.0.2." + number + ":7720";
    }

    void start() {
      up = true;
      node = net.node(address);
      Seating[] known = {seating()};
      RegisterClient register = new RegisterClient(SET, node.caller(), node.timers(), new Seatings() {
        @Override
        public Seating of() {
          return known[0];
        }

        @Override
        public void told(Seating newer) {
          known[0] = newer;
        }
      }, chance.nextLong(), address, other -> other.hashCode());
      calls = new LotsDoor(register, node.caller(), node.timers(), known(known), address, chance.nextLong(),
          3_000);
      servers = new SimServers(timers);
      servers.room = 3;
      servers.serveMs = 700;
      servers.served = served;
      all.add(servers);
      calls.setServers(servers);
      calls.listen(node.answering());
      calls.start();
    }

    /** Its servers drop what it had sent them. */
    void kill() {
      up = false;
      net.kill(address);
      servers.drop();
    }
  }

  final long seed;
  final HandTimers timers = new HandTimers();
  final Random chance;
  final SimNet net;
  final List<Vault> vaults = new ArrayList<>();
  final List<Door> doors = new ArrayList<>();
  /** Of all doors' lives. */
  final List<SimServers> all = new ArrayList<>();
  /** Items that a server has finished. */
  final Set<String> served = new HashSet<>();
  final Roster roster = new Roster();
  final SimTimetable timetable;

  ShelfWorld(long seed, int doorCount, long mostWaiting) {
    this.seed = seed;
    chance = new Random(seed);
    net = new SimNet(seed, timers);
    timetable = new SimTimetable(1, List.of(SimWorld.route(mostWaiting)));
    Seating founding = new Seating();
    for (int i = 0; i < 3; i++) {
      Vault vault = new Vault(i);
      vaults.add(vault);
      vault.start();
      Seat seat = new Seat();
      seat.address = vault.address;
      seat.station = "st-" + vault.address;
      seat.life = vault.disk.life();
      seat.incarnation = 1;
      founding.seats.add(seat);
    }
    roster.shelf = founding;
    vaults.forEach(vault -> vault.keeper.found(founding));
    timers.pass(100);
    for (int i = 0; i < doorCount; i++) {
      doors.add(new Door(i));
      roster.clerks.add(doors.get(i).address);
    }
    doors.forEach(Door::start);
    gossip();
  }

  /** What the pulls do: vaults and doors hear of the newest seating. */
  private void gossip() {
    Seating newest = seating();
    roster.shelf = newest;
    for (Vault vault : vaults) {
      if (vault.up) {
        vault.keeper.learn(newest);
      }
    }
    timers.after(300, this::gossip);
  }

  private Seating seating() {
    Seating newest = roster.shelf;
    int best = sum(newest);
    for (Vault vault : vaults) {
      if (vault.up && sum(vault.keeper.seating()) > best) {
        newest = vault.keeper.seating();
        best = sum(newest);
      }
    }
    return newest;
  }

  private static int sum(Seating seating) {
    int sum = 0;
    for (Seat seat : seating.seats) {
      sum += seat.incarnation;
    }
    return sum;
  }

  private Known known(Seating[] seating) {
    return new Known() {
      @Override
      public Timetable timetable() {
        return timetable;
      }

      @Override
      public List<ServerEntry> servers() {
        return List.of();
      }

      @Override
      public long listAgeMs() {
        return 0;
      }

      @Override
      public Roster roster() {
        seating[0] = sum(roster.shelf) > sum(seating[0]) ? roster.shelf : seating[0];
        return roster;
      }

      @Override
      public void whenChanged(Runnable then) {
      }
    };
  }

  boolean calm() {
    for (Vault vault : vaults) {
      if (!vault.up || !vault.keeper.seated()) {
        return false;
      }
    }
    return true;
  }

  Route route() {
    return timetable.named("r-lots");
  }

  CompletableFuture<LotCalls.Reply> hand(Door door, String id, int pieces, long tokens) {
    return door.calls.handIn(route(), id, SimWorld.lot(id, pieces, tokens), 3_000);
  }

  /** Null where no answer comes within 6 s, as the door has died. */
  LotCalls.Reply await(CompletableFuture<LotCalls.Reply> reply) {
    for (int i = 0; i < 6_000 && !reply.isDone(); i++) {
      timers.pass(1);
    }
    return reply.isDone() ? reply.join() : null;
  }
}
