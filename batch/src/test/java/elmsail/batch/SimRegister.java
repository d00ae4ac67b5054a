package elmsail.batch;

import elmsail.consensus.Register;
import elmsail.rpc.messages.Ballot;
import elmsail.rpc.messages.Blob;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * A gateway's register over simulated links: prepare and accept at a majority, as published for
 * CASPaxos.
 */
final class SimRegister implements Register {
  private final SimWorld world;
  private final String gateway;
  private final long who;
  private long round;

  SimRegister(SimWorld world, String gateway, long who) {
    this.world = world;
    this.gateway = gateway;
    this.who = who;
  }

  private final class Change {
    final String key;
    final Function<ObservedState, ProposedValue> change;
    final List<Blob> blobs;
    final byte[] note;
    final CompletableFuture<CommittedState> held = new CompletableFuture<>();
    boolean sent;

    Change(
        String key, Function<ObservedState, ProposedValue> change, List<Blob> blobs, byte[] note, long timeoutMs) {
      this.key = key;
      this.change = change;
      this.blobs = blobs;
      this.note = note;
      world.timers.schedule(timeoutMs, this::fail);
    }

    void fail() {
      held.completeExceptionally(
          new ElmsailException(sent ? ErrorCode.OUTCOME_UNKNOWN : ErrorCode.NO_QUORUM, key));
    }

    void again() {
      world.timers.schedule(1 + world.chance.nextInt(20), this::begin);
    }

    void begin() {
      if (held.isDone()) {
        return;
      }
      Ballot ballot = new Ballot();
      ballot.round = ++round;
      ballot.proposerId = who;
      List<SimJobStore.Told> promises = new ArrayList<>();
      boolean[] over = new boolean[1];
      for (SimJobStore store : world.stores) {
        send(
            store,
            () -> store.prepare(key, ballot, blobs, note),
            response -> {
              round = Math.max(round, response.promised().round);
              if (!response.done() && !over[0]) {
                over[0] = true;
                again();
              } else if (response.done()
                  && promises.add(response)
                  && promises.size() == world.majority()
                  && !over[0]) {
                over[0] = true;
                promised(ballot, promises);
              }
            });
      }
    }

    void promised(Ballot ballot, List<SimJobStore.Told> promises) {
      if (held.isDone()) {
        return;
      }
      Ballot newest = new Ballot();
      byte[] value = null;
      List<byte[]> notes = new ArrayList<>();
      int same = 0;
      for (SimJobStore.Told one : promises) {
        notes.add(one.note());
        if (SimJobStore.less(newest, one.accepted())) {
          newest = one.accepted();
          value = one.value();
        }
      }
      for (SimJobStore.Told one : promises) {
        same += one.accepted().round == newest.round && one.accepted().proposerId == newest.proposerId ? 1 : 0;
      }
      ProposedValue wanted = change.apply(new ObservedState(value, notes));
      if (wanted.value() != null) {
        accept(ballot, wanted.value(), wanted.blobs(), true);
      } else if (same < world.majority() && value != null) {
        accept(ballot, value, List.of(), false);
      } else {
        held.complete(new CommittedState(new VersionedValue(newest, value), false));
      }
    }

    void accept(Ballot ballot, byte[] value, List<Blob> with, boolean changed) {
      sent = true;
      int[] counts = new int[2];
      for (SimJobStore store : world.stores) {
        send(
            store,
            () -> store.accept(key, ballot, value, with),
            response -> {
              round = Math.max(round, response.promised().round);
              if (response.done() && ++counts[0] == world.majority()) {
                held.complete(new CommittedState(new VersionedValue(ballot, value), changed));
              } else if (!response.done()
                  && ++counts[1] == world.stores.size() - world.majority() + 1) {
                again();
              }
            });
      }
    }
  }

  private <T> void send(
      SimJobStore store, java.util.function.Supplier<T> handle, Consumer<T> heard) {
    world.carry(
        gateway,
        store.address,
        () -> {
          T response = handle.get();
          world.carry(store.address, gateway, () -> heard.accept(response));
        });
  }

  @Override
  public CompletableFuture<VersionedValue> read(String key, Ballot known, long timeoutMs) {
    CompletableFuture<VersionedValue> read = new CompletableFuture<>();
    change(key, found -> new ProposedValue(null, List.of()), List.of(), null, timeoutMs)
        .whenComplete(
            (held, failed) -> {
              if (failed != null) {
                read.completeExceptionally(new ElmsailException(ErrorCode.NO_QUORUM, key));
              } else if (known != null
                  && known.round == held.current().ballot().round
                  && known.proposerId == held.current().ballot().proposerId) {
                read.complete(new VersionedValue(known, null));
              } else {
                read.complete(held.current());
              }
            });
    return read;
  }

  @Override
  public CompletableFuture<CommittedState> change(
      String key, Function<ObservedState, ProposedValue> change, List<Blob> blobs, byte[] note, long timeoutMs) {
    Change one = new Change(key, change, blobs, note, timeoutMs);
    world.timers.execute(one::begin);
    return one.held;
  }

  @Override
  public CompletableFuture<byte[]> readBlob(String key, String name, long timeoutMs) {
    CompletableFuture<byte[]> blob = new CompletableFuture<>();
    world.timers.schedule(
        timeoutMs,
        () -> blob.completeExceptionally(new ElmsailException(ErrorCode.NO_QUORUM, name)));
    int[] none = new int[1];
    for (SimJobStore store : world.stores) {
      send(
          store,
          () -> {
            SimJobStore.Cell cell = store.cells.get(key);
            byte[] bytes = cell == null ? null : cell.blobs.get(name);
            return java.util.Optional.ofNullable(bytes);
          },
          found -> {
            if (found.isPresent()) {
              blob.complete(found.get());
            } else if (++none[0] == world.majority()) {
              blob.complete(null);
            }
          });
    }
    return blob;
  }
}
