package elmsail.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import elmsail.batch.api.BatchApi;
import elmsail.batch.messages.WaitingTokens;
import elmsail.config.ClusterState;
import elmsail.config.Route;
import elmsail.config.RoutingConfig;
import elmsail.config.ServerEntry;
import elmsail.rpc.RpcClient;
import elmsail.rpc.messages.ClusterView;
import elmsail.rpc.messages.OpaqueMessage;
import elmsail.rpc.messages.Voter;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import elmsail.runtime.ManualTimers;
import elmsail.runtime.ProcessMetrics;
import elmsail.runtime.Timers;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

/**
 * Simulates gateways and stores with a simple register over simulated links. One manual clock and
 * one seed determine the whole simulation, so that it is reproducible. {@link
 * ReplicatedBatchCluster} has real replicas.
 */
final class SimBatchCluster {
  static final long STATUS_RETENTION_MS = 120_000;
  static final String HOST = "h.example";

  /** A gateway with its servers; while it is down, it neither receives nor sends messages. */
  static final class Gateway {
    final String address;
    BatchApi batchApi;
    SimServers servers;
    SimConfig config;
    boolean up = true;

    Gateway(String address) {
      this.address = address;
    }
  }

  final ManualTimers timers = new ManualTimers();
  final Random random;
  final List<SimJobStore> stores = new ArrayList<>();
  final List<Gateway> gateways = new ArrayList<>();
  final ClusterView view = new ClusterView();

  /** The cut links, each as "from>to". */
  final Set<String> cutLinks = new HashSet<>();

  /** The fixed delays of some links, in ms; on other links each message takes 1 to 5 ms. */
  final Map<String, Long> linkDelays = new HashMap<>();

  final SimConfig initialConfig;

  SimBatchCluster(long seed, int gatewayCount, long maxWaitingTokens) {
    random = new Random(seed);
    initialConfig = new SimConfig(1, List.of(route(maxWaitingTokens)));
    for (int i = 0; i < 3; i++) {
      SimJobStore store = new SimJobStore("10.0.1." + i + ":7000", this);
      stores.add(store);
      Voter voter = new Voter();
      voter.address = store.address;
      view.jobStoreVoters.voters.add(voter);
    }
    for (int i = 0; i < gatewayCount; i++) {
      view.gateways.add("10.0.2." + i + ":7000");
    }
    for (int i = 0; i < gatewayCount; i++) {
      gateways.add(startGateway(new Gateway(view.gateways.get(i)), i));
    }
  }

  static Route route(long maxWaitingTokens) {
    return new Route(
        "r-lots",
        HOST,
        "/lots1/",
        Route.Kind.BATCH,
        4_000,
        500,
        20,
        List.of(new Route.WeightedService("s", 1)),
        2,
        false,
        150,
        10_000,
        60_000,
        maxWaitingTokens);
  }

  Route route() {
    return initialConfig.routeByName("r-lots");
  }

  private Gateway startGateway(Gateway gateway, int number) {
    ClusterState clusterState =
        new ClusterState() {
          @Override
          public RoutingConfig config() {
            return gateway.config;
          }

          @Override
          public List<ServerEntry> servers() {
            return List.of();
          }

          @Override
          public long configConfirmedAgeMs() {
            return 0;
          }

          @Override
          public long serverListAgeMs() {
            return 0;
          }

          @Override
          public ClusterView view() {
            return view;
          }

          @Override
          public void addListener(Runnable then) {}
        };
    gateway.config = initialConfig;
    gateway.servers = new SimServers(timers);
    Timers gatewayTimers = timersOf(gateway);
    gateway.batchApi =
        new BatchApi(
            new SimRegister(this, gateway.address, number + 1),
            rpcClient(gateway.address),
            gatewayTimers,
            clusterState,
            new BatchSettings(gateway.address, 3_000, random.nextLong()),
            ProcessMetrics.strict());
    gateway.batchApi.setServers(gateway.servers);
    gateway.batchApi.start();
    return gateway;
  }

  /** Timers that fire only while the gateway is up. */
  private Timers timersOf(Gateway gateway) {
    return new Timers() {
      @Override
      public Timer schedule(long ms, Runnable then) {
        return timers.schedule(
            ms,
            () -> {
              if (gateway.up) {
                then.run();
              }
            });
      }

      @Override
      public void execute(Runnable then) {
        schedule(0, then);
      }

      @Override
      public long now() {
        return timers.now();
      }
    };
  }

  /** Puts a configuration in force at all gateways. */
  void configure(SimConfig config) {
    gateways.forEach(gateway -> gateway.config = config);
  }

  int majority() {
    return stores.size() / 2 + 1;
  }

  private boolean isUp(String address) {
    for (SimJobStore store : stores) {
      if (store.address.equals(address)) {
        return store.up;
      }
    }
    for (Gateway gateway : gateways) {
      if (gateway.address.equals(address)) {
        return gateway.up;
      }
    }
    return false;
  }

  /**
   * Delivers a message, unless the sender is down now, or the link is cut or the receiver is down
   * when the message arrives.
   */
  void deliver(String from, String to, Runnable message) {
    if (!isUp(from)) {
      return;
    }
    long delay = linkDelays.getOrDefault(from + ">" + to, 1L + random.nextInt(5));
    timers.schedule(
        delay,
        () -> {
          if (isUp(to) && !cutLinks.contains(from + ">" + to)) {
            message.run();
          }
        });
  }

  void setLinkCut(String first, String second, boolean cut) {
    for (String link : List.of(first + ">" + second, second + ">" + first)) {
      if (cut) {
        cutLinks.add(link);
      } else {
        cutLinks.remove(link);
      }
    }
  }

  private CompletionStage<OpaqueMessage> handle(String peer, OpaqueMessage request) {
    for (SimJobStore store : stores) {
      if (store.address.equals(peer)) {
        return store.service.handle(request);
      }
    }
    for (Gateway gateway : gateways) {
      if (gateway.address.equals(peer)) {
        return gateway.batchApi.handle(request);
      }
    }
    return CompletableFuture.failedFuture(new ElmsailException(ErrorCode.NOT_SENT, peer));
  }

  private RpcClient rpcClient(String from) {
    return new RpcClient() {
      @Override
      public <A> CompletableFuture<A> call(
          String peer, Object request, Class<A> responseType, long timeoutMs) {
        CompletableFuture<A> response = new CompletableFuture<>();
        timers.schedule(
            timeoutMs,
            () -> response.completeExceptionally(new ElmsailException(ErrorCode.TIMEOUT, peer)));
        deliver(
            from,
            peer,
            () ->
                handle(peer, (OpaqueMessage) request)
                    .whenComplete(
                        (reply, failure) ->
                            deliver(
                                peer,
                                from,
                                () -> {
                                  if (failure == null) {
                                    response.complete(responseType.cast(reply));
                                  } else {
                                    response.completeExceptionally(failure);
                                  }
                                })));
        return response;
      }
    };
  }

  CompletableFuture<BatchService.Reply> submit(int gateway, String id, int items, long tokens) {
    return submit(TenantName.NONE, gateway, id, items, tokens);
  }

  CompletableFuture<BatchService.Reply> submit(
      TenantName tenant, int gateway, String id, int items, long tokens) {
    return gateways
        .get(gateway)
        .batchApi
        .submit(tenant, route(), id, JobJson.job(id, items, tokens), 3_000);
  }

  /** Advances the clock until the reply is present, by at most 10 s. */
  BatchService.Reply await(CompletableFuture<BatchService.Reply> reply) {
    for (int i = 0; i < 10_000 && !reply.isDone(); i++) {
      timers.advance(1);
    }
    assertThat("replied within 10 s", reply.isDone(), is(true));
    return reply.join();
  }

  /** The waiting tokens of the route according to this store. */
  static long waitingTokens(SimJobStore store) {
    WaitingTokens count = new WaitingTokens();
    count.mergeAll(
        List.of(
            store.service.onSideEffect(
                "lot/probe", new WaitingTokens.Reservation("r-lots", "probe", 0, 1).encode())));
    return count.totalExcept("probe");
  }

  /** The number of stores that have the blob. */
  int storesWithBlob(String key, String blob) {
    int count = 0;
    for (SimJobStore store : stores) {
      SimJobStore.StoredKey storedKey = store.keys.get(key);
      count += storedKey != null && storedKey.blobs.containsKey(blob) ? 1 : 0;
    }
    return count;
  }

  int status(CompletableFuture<BatchService.Reply> reply) {
    return await(reply).status();
  }

  String read(int gateway, String id, long after) {
    BatchService.Reply reply =
        await(gateways.get(gateway).batchApi.readResults(TenantName.NONE, id, after, 0));
    return reply.status() + " " + new String(reply.body(), StandardCharsets.UTF_8);
  }
}
