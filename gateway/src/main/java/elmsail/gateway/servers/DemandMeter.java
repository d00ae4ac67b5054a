package elmsail.gateway.servers;

import elmsail.config.RoutingConfig;
import elmsail.config.Service;
import elmsail.rpc.messages.ServiceDemand;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Measures this gateway's demand by zone for the services whose number of servers is set by fleet
 * size control: the open requests and batch items at the servers, and a part of the batch items
 * that wait at this gateway for capacity. Pure functions.
 */
final class DemandMeter {
  /**
   * Slots needed for each waiting item. The deadline of an item is several times its run time, so
   * that one slot can run several waiting items in turn.
   */
  private static final double SLOTS_PER_WAITING_ITEM = 0.25;

  private record ServiceZone(String service, String zone) {}

  private DemandMeter() {}

  /**
   * The demand by service and zone.
   *
   * @param servers in use
   * @param waitingItems number of items by service that wait at this gateway for capacity
   * @return the demands, without services that have no fleet size in the configuration
   */
  static List<ServiceDemand> measure(
      Collection<Server> servers, RoutingConfig config, Map<String, Integer> waitingItems) {
    Map<ServiceZone, ServiceDemand> demands = new LinkedHashMap<>();
    for (Server server : servers) {
      String service = server.entry().service();
      if (isAutoscaled(config, service)) {
        ServiceZone serviceZone = new ServiceZone(service, server.entry().zone());
        demands.computeIfAbsent(serviceZone, DemandMeter::newDemand).openRequests +=
            server.openAttemptCount();
      }
    }
    waitingItems.forEach((service, items) -> addWaitingItems(demands.values(), service, items));
    return new ArrayList<>(demands.values());
  }

  private static boolean isAutoscaled(RoutingConfig config, String serviceName) {
    Service service = config.services().get(serviceName);
    return service != null && service.fleetSize().isPresent();
  }

  private static ServiceDemand newDemand(ServiceZone serviceZone) {
    ServiceDemand demand = new ServiceDemand();
    demand.service = serviceZone.service();
    demand.zone = serviceZone.zone();
    return demand;
  }

  /**
   * Distributes the slots that waiting items need over the zones of their service as equally as
   * possible.
   */
  private static void addWaitingItems(
      Collection<ServiceDemand> demands, String service, int items) {
    List<ServiceDemand> zones = new ArrayList<>();
    for (ServiceDemand demand : demands) {
      if (demand.service.equals(service)) {
        zones.add(demand);
      }
    }
    int slots = (int) Math.round(items * SLOTS_PER_WAITING_ITEM);
    for (int slot = 0; slot < slots && !zones.isEmpty(); slot++) {
      zones.get((items + slot) % zones.size()).openRequests++;
    }
  }
}
