package elmsail.gateway.load;

import elmsail.config.watch.RendezvousHash;
import elmsail.runtime.MonotonicClock;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Tracks the gateways from which reports were received, and selects the gateway of this zone that
 * aggregates the zone's loads. The aggregator is the first gateway by rendezvous hashing that is
 * alive and keeps sending the total. Owned by the event loop; times in ms on the loop's clock.
 */
final class ZoneMembers {
  /** A gateway of the zone is a member for this time after its last report. */
  static final long MEMBER_EXPIRY_MS = 8_000;

  /** The zone of a gateway is remembered for this time after the gateway's last report. */
  static final long ZONE_EXPIRY_MS = 30_000;

  /** An aggregator that sends no total for this time is suspended. */
  static final long TOTAL_TIMEOUT_MS = 300;

  /** A suspended aggregator can be selected again after this time, or once it sends a total. */
  static final long AGGREGATOR_SUSPENSION_MS = 4_000;

  private static final int MAX_MEMBERS = 4_096;

  private static final class Member {
    String zone;
    long instanceId;
    long lastReceivedAt;
    long suspendedUntil = Long.MIN_VALUE;
  }

  private final String ownAddress;
  private final String zone;
  private final MonotonicClock clock;
  private final Map<String, Member> members = new LinkedHashMap<>();
  private String aggregator;
  private long totalExpectedBy;

  ZoneMembers(String ownAddress, String zone, MonotonicClock clock) {
    this.ownAddress = ownAddress;
    this.zone = zone;
    this.clock = clock;
    aggregator = ownAddress;
  }

  /** This gateway's internal address. */
  String ownAddress() {
    return ownAddress;
  }

  /** This gateway's zone. */
  String ownZone() {
    return zone;
  }

  /** Whether this gateway is the aggregator now; see {@link #aggregator}. */
  boolean isAggregator() {
    return aggregator().equals(ownAddress);
  }

  /** Records a report of a gateway; returns true if the gateway's instance was not known. */
  boolean onReport(String address, String peerZone, long instanceId) {
    Member member = members.get(address);
    if (member == null) {
      if (members.size() >= MAX_MEMBERS) {
        return false;
      }
      member = new Member();
      members.put(address, member);
    }
    boolean isNew = member.instanceId != instanceId || member.zone == null;
    member.zone = peerZone;
    member.instanceId = instanceId;
    member.lastReceivedAt = clock.now();
    return isNew;
  }

  /** Records that a gateway has sent the total. */
  void onTotal(String address) {
    Member member = members.get(address);
    if (member != null) {
      member.suspendedUntil = Long.MIN_VALUE;
    }
    if (address.equals(aggregator)) {
      totalExpectedBy = clock.now() + TOTAL_TIMEOUT_MS;
    }
  }

  /** Restarts the timeout for the next total, after a time without any load. */
  void expectTotal() {
    totalExpectedBy = clock.now() + TOTAL_TIMEOUT_MS;
  }

  /** The address of the current aggregator: this gateway itself if no candidate ranks before it. */
  String aggregator() {
    long now = clock.now();
    if (!aggregator.equals(ownAddress) && now > totalExpectedBy) {
      members.get(aggregator).suspendedUntil = now + AGGREGATOR_SUSPENSION_MS;
    }
    List<String> candidates = new ArrayList<>();
    candidates.add(ownAddress);
    members.forEach(
        (address, member) -> {
          if (isMember(member, now) && now >= member.suspendedUntil) {
            candidates.add(address);
          }
        });
    String first = RendezvousHash.choose(zone, candidates, 1).get(0);
    if (!first.equals(aggregator)) {
      aggregator = first;
      totalExpectedBy = now + TOTAL_TIMEOUT_MS;
    }
    return aggregator;
  }

  private boolean isMember(Member member, long now) {
    return member.zone.equals(zone) && now - member.lastReceivedAt <= MEMBER_EXPIRY_MS;
  }

  /** The other gateways of this zone. */
  List<String> zonePeers() {
    long now = clock.now();
    List<String> found = new ArrayList<>();
    members.forEach(
        (address, member) -> {
          if (isMember(member, now)) {
            found.add(address);
          }
        });
    return found;
  }

  /** The gateways of each other zone. */
  Map<String, List<String>> peersByOtherZone() {
    long now = clock.now();
    Map<String, List<String>> found = new TreeMap<>();
    members.forEach(
        (address, member) -> {
          if (!member.zone.equals(zone) && now - member.lastReceivedAt <= ZONE_EXPIRY_MS) {
            found.computeIfAbsent(member.zone, name -> new ArrayList<>()).add(address);
          }
        });
    return found;
  }

  /** The zone of a gateway, or null if the gateway is unknown or its last report has expired. */
  String zoneOf(String address) {
    Member member = members.get(address);
    if (member == null) {
      return null;
    }
    long now = clock.now();
    long validMs = member.zone.equals(zone) ? MEMBER_EXPIRY_MS : ZONE_EXPIRY_MS;
    return now - member.lastReceivedAt > validMs ? null : member.zone;
  }

  /** Removes gateways that are not listed and have sent no report for {@link #ZONE_EXPIRY_MS}. */
  void expireUnlisted(List<String> listed) {
    long now = clock.now();
    members
        .entrySet()
        .removeIf(
            entry ->
                now - entry.getValue().lastReceivedAt > ZONE_EXPIRY_MS
                    && !entry.getKey().equals(aggregator)
                    && !listed.contains(entry.getKey()));
  }
}
