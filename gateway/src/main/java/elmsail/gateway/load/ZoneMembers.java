package elmsail.gateway.load;

import elmsail.config.watch.RendezvousHash;
import elmsail.runtime.MonotonicClock;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Which gateways were heard, in which zones, and which of this zone sums its loads up: the first
 * one by rendezvous hashing that is heard and goes on telling the total. Pure but for the clock.
 */
final class ZoneMembers {
  /** A gateway of the zone is a member for so long after it was last heard. */
  static final long MEMBER_EXPIRY_MS = 8_000;

  /** The zone of a silent gateway is remembered for so long. */
  static final long ZONE_EXPIRY_MS = 30_000;

  /** Whoever sums up and tells no total for so long is passed over. */
  static final long TOTAL_TIMEOUT_MS = 300;

  /** One that is passed over is tried again after so long, or once it tells a total. */
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

  /** A report of that gateway came: whether its instance was not known. */
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

  /** That gateway told the total of the zone. */
  void onTotal(String address) {
    Member member = members.get(address);
    if (member != null) {
      member.suspendedUntil = Long.MIN_VALUE;
    }
    if (address.equals(aggregator)) {
      totalExpectedBy = clock.now() + TOTAL_TIMEOUT_MS;
    }
  }

  /** From now on totals are told again, after a time in which there was nothing to tell. */
  void expectTotal() {
    totalExpectedBy = clock.now() + TOTAL_TIMEOUT_MS;
  }

  /** Who sums up now; this gateway itself where no other is before it. */
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

  /** The zone of a gateway, or null where it is not known or the gateway should be heard again. */
  String zoneOf(String address) {
    Member member = members.get(address);
    if (member == null) {
      return null;
    }
    long now = clock.now();
    long validMs = member.zone.equals(zone) ? MEMBER_EXPIRY_MS : ZONE_EXPIRY_MS;
    return now - member.lastReceivedAt > validMs ? null : member.zone;
  }

  /** Forgets gateways that are not listed and silent. */
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
