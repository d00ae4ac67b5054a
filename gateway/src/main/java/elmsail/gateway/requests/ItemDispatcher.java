package elmsail.gateway.requests;

import elmsail.batch.BatchItem;
import elmsail.batch.ItemServers;
import elmsail.batch.TenantName;
import elmsail.config.Route;
import elmsail.gateway.http.Headers;
import elmsail.gateway.http.RequestCounters;
import elmsail.gateway.servers.Prompt;
import elmsail.gateway.servers.SelectionMode;
import elmsail.gateway.servers.Server;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Sends items of batch jobs to servers that have capacity not used by client requests. Owned by the
 * gateway's event loop.
 */
public final class ItemDispatcher implements ItemServers {
  /** Less urgent than the priority of any client request. */
  private static final int ITEM_PRIORITY = 8;

  private final RequestContext context;
  private final ItemFailures failures = new ItemFailures();

  /** Creates a dispatcher that shares the servers and counters of client requests. */
  public ItemDispatcher(RequestContext context) {
    this.context = context;
  }

  @Override
  public int availableCapacity(Route route) {
    long now = context.timers().now();
    int sum = 0;
    for (Server server : context.servers().serversOf(route)) {
      sum += server.availableItemCapacity(now);
    }
    return sum;
  }

  @Override
  public RunHandle start(
      TenantName tenant,
      Route route,
      BatchItem item,
      long resumeAfterEventId,
      RunListener listener) {
    long now = context.timers().now();
    List<Server> routeServers = context.servers().serversOf(route);
    Set<Server> excluded = serversThatFailed(item.id(), routeServers);
    for (Server server : routeServers) {
      if (server.availableItemCapacity(now) <= 0) {
        excluded.add(server);
      }
    }
    HttpHeaders headers = new DefaultHttpHeaders();
    for (Map.Entry<String, String> e : item.headers().entrySet()) {
      headers.set(e.getKey(), e.getValue());
    }
    headers.set("Host", route.host());
    Prompt prompt = Prompt.parse(headers.get(Headers.PROMPT_PREFIX), headers.get(Headers.TOKENS));
    boolean mayProbe = route.maxAttempts() > 1 && !failures.hasFailed(item.id());
    Optional<Server> picked =
        context
            .picker()
            .pick(
                route,
                prompt,
                excluded,
                mayProbe ? SelectionMode.PROBE_ALLOWED : SelectionMode.NOT_RETRYABLE);
    if (picked.isEmpty() || !mayProbe && context.picker().isUnhealthy(picked.get())) {
      return null;
    }
    Server server = picked.get();
    context.counters().count(RequestCounters.Event.ITEM_STARTED);
    ClientRequest request =
        new ClientRequest(item, headers, authenticationOf(tenant), ITEM_PRIORITY, context.timers());
    if (resumeAfterEventId >= 0) {
      request.resumeAfter(resumeAfterEventId);
    }
    ItemRun run =
        new ItemRun(
            context.timers(),
            resumeAfterEventId,
            new FailureRecorder(item.id(), server.id(), listener));
    run.onStarted(context.servers().start(server, request, run));
    return run;
  }

  /** An item needs no key, because the key was checked when its job was submitted. */
  private Authentication authenticationOf(TenantName tenant) {
    if (!tenant.isNone()) {
      return new Authentication.OfJob(tenant);
    }
    return context.clusterState().config().requiresKeys()
        ? Authentication.Anonymous.OPEN_ROUTE
        : Authentication.Anonymous.NO_TENANTS;
  }

  /** The servers that failed the item; empty if no other server is available. */
  private Set<Server> serversThatFailed(String itemId, List<Server> routeServers) {
    Set<Server> failed = new HashSet<>();
    boolean hasOthers = false;
    for (Server server : routeServers) {
      if (failures.hasFailedAt(itemId, server.id())) {
        failed.add(server);
      } else {
        hasOthers |= context.picker().isAvailable(server);
      }
    }
    return hasOthers ? failed : new HashSet<>();
  }

  /** Records the server that failed an item, and forwards all calls to the run's listener. */
  private final class FailureRecorder implements RunListener {
    private final String itemId;
    private final String serverId;
    private final RunListener listener;

    FailureRecorder(String itemId, String serverId, RunListener listener) {
      this.itemId = itemId;
      this.serverId = serverId;
      this.listener = listener;
    }

    @Override
    public void onEvent(long id, byte[] data) {
      listener.onEvent(id, data);
    }

    @Override
    public void onEnded(RunOutcome outcome) {
      switch (outcome) {
        case FAILED -> failures.add(itemId, serverId);
        case COMPLETED, REJECTED -> failures.remove(itemId);
        default -> {}
      }
      listener.onEnded(outcome);
    }
  }
}
