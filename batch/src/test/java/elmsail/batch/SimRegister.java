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
 * A simple proposer over simulated links. Each proposal runs a prepare and an accept phase at a
 * majority of the stores, as in CASPaxos (Rystsov, 2018).
 */
final class SimRegister implements Register {
  private final SimBatchCluster cluster;
  private final String gateway;
  private final long proposerId;
  private long round;

  SimRegister(SimBatchCluster cluster, String gateway, long proposerId) {
    this.cluster = cluster;
    this.gateway = gateway;
    this.proposerId = proposerId;
  }

  private final class Proposal {
    final String key;
    final Function<ObservedState, ProposedValue> change;
    final List<Blob> blobs;
    final byte[] sideEffect;
    final CompletableFuture<CommittedState> result = new CompletableFuture<>();
    Ballot lastSent = new Ballot();

    Proposal(
        String key,
        Function<ObservedState, ProposedValue> change,
        List<Blob> blobs,
        byte[] sideEffect,
        long timeoutMs) {
      this.key = key;
      this.change = change;
      this.blobs = blobs;
      this.sideEffect = sideEffect;
      cluster.timers.schedule(timeoutMs, this::timeOut);
    }

    void timeOut() {
      result.completeExceptionally(
          new ElmsailException(
              lastSent.round > 0 ? ErrorCode.OUTCOME_UNKNOWN : ErrorCode.NO_QUORUM, key));
    }

    void retry() {
      cluster.timers.schedule(1 + cluster.random.nextInt(20), this::start);
    }

    void start() {
      if (result.isDone()) {
        return;
      }
      Ballot ballot = new Ballot();
      ballot.round = ++round;
      ballot.proposerId = proposerId;
      List<SimJobStore.Response> promises = new ArrayList<>();
      boolean[] phaseEnded = new boolean[1];
      for (SimJobStore store : cluster.stores) {
        send(
            store,
            () -> store.prepare(key, ballot, blobs, sideEffect),
            response -> {
              round = Math.max(round, response.promised().round);
              if (!response.granted() && !phaseEnded[0]) {
                phaseEnded[0] = true;
                retry();
              } else if (response.granted()
                  && promises.add(response)
                  && promises.size() == cluster.majority()
                  && !phaseEnded[0]) {
                phaseEnded[0] = true;
                onPromised(ballot, promises);
              }
            });
      }
    }

    void onPromised(Ballot ballot, List<SimJobStore.Response> promises) {
      if (result.isDone()) {
        return;
      }
      Ballot newest = new Ballot();
      byte[] value = null;
      List<byte[]> sideEffects = new ArrayList<>();
      int matching = 0;
      for (SimJobStore.Response promise : promises) {
        sideEffects.add(promise.sideEffect());
        if (SimJobStore.isLower(newest, promise.accepted())) {
          newest = promise.accepted();
          value = promise.value();
        }
      }
      for (SimJobStore.Response promise : promises) {
        matching +=
            promise.accepted().round == newest.round
                    && promise.accepted().proposerId == newest.proposerId
                ? 1
                : 0;
      }
      ProposedValue proposed = change.apply(new ObservedState(value, sideEffects));
      if (proposed.value() != null) {
        accept(ballot, proposed.value(), proposed.blobs(), true);
      } else if (proposed.fencesEarlierProposals()
          || matching < cluster.majority()
          || SimJobStore.isLower(newest, lastSent)) {
        accept(ballot, value, List.of(), false);
      } else {
        result.complete(new CommittedState(new VersionedValue(newest, value), false));
      }
    }

    void accept(Ballot ballot, byte[] value, List<Blob> acceptBlobs, boolean changed) {
      lastSent = ballot;
      int[] grantedAndRejected = new int[2];
      for (SimJobStore store : cluster.stores) {
        send(
            store,
            () -> store.accept(key, ballot, value, acceptBlobs),
            response -> {
              round = Math.max(round, response.promised().round);
              if (response.granted() && ++grantedAndRejected[0] == cluster.majority()) {
                result.complete(new CommittedState(new VersionedValue(ballot, value), changed));
              } else if (!response.granted()
                  && ++grantedAndRejected[1] == cluster.stores.size() - cluster.majority() + 1) {
                retry();
              }
            });
      }
    }
  }

  private <T> void send(
      SimJobStore store, java.util.function.Supplier<T> handle, Consumer<T> onResponse) {
    cluster.deliver(
        gateway,
        store.address,
        () -> {
          T response = handle.get();
          cluster.deliver(store.address, gateway, () -> onResponse.accept(response));
        });
  }

  @Override
  public CompletableFuture<VersionedValue> read(String key, Ballot known, long timeoutMs) {
    CompletableFuture<VersionedValue> read = new CompletableFuture<>();
    change(key, found -> new ProposedValue(null, List.of()), List.of(), null, timeoutMs)
        .whenComplete(
            (result, failed) -> {
              if (failed != null) {
                read.completeExceptionally(new ElmsailException(ErrorCode.NO_QUORUM, key));
              } else if (known != null
                  && known.round == result.current().ballot().round
                  && known.proposerId == result.current().ballot().proposerId) {
                read.complete(new VersionedValue(known, null));
              } else {
                read.complete(result.current());
              }
            });
    return read;
  }

  @Override
  public CompletableFuture<CommittedState> change(
      String key,
      Function<ObservedState, ProposedValue> change,
      List<Blob> blobs,
      byte[] sideEffect,
      long timeoutMs) {
    Proposal proposal = new Proposal(key, change, blobs, sideEffect, timeoutMs);
    cluster.timers.execute(proposal::start);
    return proposal.result;
  }

  @Override
  public CompletableFuture<byte[]> readBlob(String key, String name, long timeoutMs) {
    CompletableFuture<byte[]> blob = new CompletableFuture<>();
    cluster.timers.schedule(
        timeoutMs,
        () -> blob.completeExceptionally(new ElmsailException(ErrorCode.NO_QUORUM, name)));
    int[] missing = new int[1];
    for (SimJobStore store : cluster.stores) {
      send(
          store,
          () -> {
            SimJobStore.StoredKey storedKey = store.keys.get(key);
            byte[] bytes = storedKey == null ? null : storedKey.blobs.get(name);
            return java.util.Optional.ofNullable(bytes);
          },
          found -> {
            if (found.isPresent()) {
              blob.complete(found.get());
            } else if (++missing[0] == cluster.majority()) {
              blob.complete(null);
            }
          });
    }
    return blob;
  }
}
