package elmsail.register;

import elmsail.inner.Caller;
import elmsail.inner.words.Seat;
import elmsail.inner.words.Seating;
import elmsail.rehearsal.HandTimers;
import elmsail.rehearsal.Node;
import elmsail.rehearsal.SimDisk;
import elmsail.rehearsal.SimNet;
import java.util.concurrent.CompletableFuture;

/** Three keepers and a spare on the simulated network and disks. */
final class SimSet {
  static final String[] AT = {"10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7", "10.0.0.4:7"};

  final HandTimers timers = new HandTimers();
  final SimNet net = new SimNet(11, timers);
  final SimDisk[] disks = new SimDisk[AT.length];
  final SetKeeper[] keepers = new SetKeeper[AT.length];
  final Views[] views = new Views[AT.length];
  final Seating founding = new Seating();
  private int clients;

  SimSet() {
    net.delay(1, 3);
    for (int i = 0; i < AT.length; i++) {
      disks[i] = new SimDisk(i + 1, timers);
      views[i] = new Views() { };
      start(i);
    }
    for (int i = 0; i < 3; i++) {
      Seat seat = new Seat();
      seat.address = AT[i];
      seat.station = "s" + i;
      seat.life = disks[i].life();
      seat.incarnation = 1;
      founding.seats.add(seat);
    }
  }

  SimSet founded() {
    for (int i = 0; i < 3; i++) {
      keepers[i].found(founding);
    }
    timers.pass(30);
    return this;
  }

  void start(int i) {
    Node node = net.node(AT[i]);
    keepers[i] = new SetKeeper("set", disks[i].open(node.timers()), views[i], node.answering(), node.caller(),
        node.timers(), AT[i], "s" + i);
  }

  void kill(int i) {
    net.kill(AT[i], true);
    disks[i].powerLoss();
  }

  /** A client at an address of its own; the counts are of its calls by kind of ask. */
  RegisterClient client(Seating known) {
    String address = "10.0.1." + ++clients + ":7";
    Node node = net.node(address);
    Seating[] held = {known};
    return new RegisterClient("set", new Counting(node.caller()), node.timers(), new Seatings() {
      @Override
      public Seating of() {
        return held[0];
      }

      @Override
      public void told(Seating newer) {
        held[0] = SeatingRules.merge(held[0], newer);
      }
    }, 1_000 + clients, address, to -> to.charAt(7) - '0');
  }

  final java.util.Map<String, Integer> asked = new java.util.TreeMap<>();

  private final class Counting implements Caller {
    private final Caller caller;

    Counting(Caller caller) {
      this.caller = caller;
    }

    @Override
    public <A> CompletableFuture<A> call(String peer, Object ask, Class<A> answer, long timeoutMs) {
      asked.merge(ask.getClass().getSimpleName(), 1, Integer::sum);
      return caller.call(peer, ask, answer, timeoutMs);
    }
  }

  <T> T await(CompletableFuture<T> future) {
    long end = timers.now() + 20_000;
    while (!future.isDone() && timers.now() < end && timers.step()) {
      continue;
    }
    return future.join();
  }

  void awaitSeated(int i, long mostMs) {
    long end = timers.now() + mostMs;
    while (!keepers[i].seated() && timers.now() < end && timers.step()) {
      continue;
    }
  }
}
